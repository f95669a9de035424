#include <signal.h>

// Runs before the Go runtime, which ends the process at a SIGHUP that nothing receives yet. Notify ends this.
__attribute__((constructor)) static void ignore_reload(void) { signal(SIGHUP, SIG_IGN); }
