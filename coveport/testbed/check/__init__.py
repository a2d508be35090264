"""A model checker of the reducer and the module together: all orders of small worlds. Pure.

`check` explores a `World` and reports the rules broken, each with a shortest path; `printed` makes a test of
a path, which `replay` plays.
"""

from coveport.testbed.check.explore import Found, Report, check
from coveport.testbed.check.replay import printed, replay
from coveport.testbed.check.rules import RULES, Breach
from coveport.testbed.check.world import World

__all__ = ["RULES", "Breach", "Found", "Report", "World", "check", "printed", "replay"]
