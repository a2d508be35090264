"""Trials of many processes: a store and its instances under fault, and a judge that reads what was left."""
