"""Model-check the reducer and the balancer together, over all orders of events in small worlds. Pure.

`check` explores a `World` and reports the rules broken, each with a `Counterexample`; `printed` writes a test
of its path, which `replay` plays.
"""

from coveport.testbed.check.counterexample import Counterexample
from coveport.testbed.check.explore import Report, check
from coveport.testbed.check.regression_test import printed
from coveport.testbed.check.replay import replay
from coveport.testbed.check.rules import RULES, Breach
from coveport.testbed.check.world import World

__all__ = ["RULES", "Breach", "Counterexample", "Report", "World", "check", "printed", "replay"]
