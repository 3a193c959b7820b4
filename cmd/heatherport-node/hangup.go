//go:build cgo

package main

// A SIGHUP that arrives while the packages are initialized, before main, ends the
// process: the runtime has its own handler by then, which takes the default action. A
// process that is paused in that state for a while meets one easily. Ignored signals
// stay ignored until main asks for them.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangups(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
