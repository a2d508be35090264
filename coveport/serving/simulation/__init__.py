"""Stand-ins of model servers, clients and operators, and days that they play with the real programs."""
