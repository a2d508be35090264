"""Which node of a level takes a request. Pure.

Nodes are grouped by an ordered list of keys, [own region, "*"]: a request goes to the first level that
holds any usable node, and "*" is used only while the own region's level is empty. Within a level two nodes
are drawn at random and the one with fewer of this proxy's own requests in flight takes the request.

A node belongs to no level while

- it closes, or is gone, or its announced end has passed;
- its zone is evacuated;
- it is outside the home regions of the request;
- the request broke off there, and there are others;
- its warm-up credit is spent (`warm_up`);
- its recent attempts all ended badly and no trial is due (`node_health`);
- it has just said that it is full, or this proxy's share of its connections is in use.

Where nothing but bad ends keeps all nodes of both levels out, those nodes are tried rather than none.

Ties go to the node that this proxy last sent more of the same prompt's leading parts (`prompt_parts`), else
to either at random.
"""

from __future__ import annotations

from coveport.balancing.locality import less_busy_of_two

__all__ = ["less_busy_of_two"]
