"""The instances of one host, supervised: started, stopped, replaced and restarted in turns."""
