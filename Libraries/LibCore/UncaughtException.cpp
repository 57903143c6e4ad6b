#include <LibCore/EventLog.h>
#include <LibCore/UncaughtException.h>

namespace Core {

void logUncaughtException(std::exception_ptr pointer)
{
    if (!pointer)
        return;
    std::string error = "unknown";
    try {
        std::rethrow_exception(pointer);
    } catch (std::exception const& exception) {
        error = exception.what();
    } catch (...) {
        error = "no standard exception";
    }
    logEvent(Severity::Error, Event::UncaughtException, { { "error", error } });
}

}
