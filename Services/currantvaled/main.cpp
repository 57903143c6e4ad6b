// Linked to the C library alone. Loading the daemon's own libraries takes milliseconds, in which SIGHUP would end a process that has
// not run any code of its own yet.

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <dlfcn.h>

namespace {

using EntryPoint = int (*)(int, char**);

constexpr char const* libraryName = "libcurrantvaled.so";
constexpr char const* entryPointName = "currantvaledMain";

// A blocked signal stays pending until the daemon awaits it, unless it is ignored, as nohup leaves SIGHUP.
bool holdBackReloads()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    return ::sigprocmask(SIG_BLOCK, &signals, nullptr) == 0 && std::signal(SIGHUP, SIG_DFL) != SIG_ERR;
}

}

int main(int argc, char** argv)
{
    if (!holdBackReloads()) {
        std::perror("currantvaled: cannot block SIGHUP");
        return EXIT_FAILURE;
    }
    void* library = ::dlopen(libraryName, RTLD_NOW);
    void* entryPoint = library ? ::dlsym(library, entryPointName) : nullptr;
    if (!entryPoint) {
        std::fprintf(stderr, "currantvaled: %s\n", ::dlerror());
        return EXIT_FAILURE;
    }
    return reinterpret_cast<EntryPoint>(entryPoint)(argc, argv);
}
