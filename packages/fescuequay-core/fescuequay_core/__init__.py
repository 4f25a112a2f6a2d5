"""Decision logic of a fescuequay instance, free of I/O."""
