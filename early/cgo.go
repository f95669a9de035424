package early

import "C" // Builds reload.c.
