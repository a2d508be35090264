"""The lab: a world of stand-ins, load and faults around real sidecars, on simulated or real ground."""
