"""Discovery's protocol and the reading of its lists."""
