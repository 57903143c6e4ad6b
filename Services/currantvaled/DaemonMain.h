#pragma once

/// Runs the daemon's command line to its end and returns the exit status. `main` finds it by its name in the daemon's library.
/// Preconditions: called once, on the process's first thread, with SIGHUP blocked. `Daemon::run` unblocks it.
extern "C" __attribute__((visibility("default"))) int currantvaledMain(int argc, char** argv);
