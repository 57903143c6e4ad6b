#include <LibCore/EventLog.h>
#include <LibCore/EventQuota.h>
#include <algorithm>
#include <atomic>
#include <cstdio>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>
#include <type_traits>

namespace Core {

namespace {

// Some 0.5 MB, and seconds of lines at the rate of a busy daemon.
constexpr int bufferedLines = 2'048;
// Some 40 requests a second come to a daemon of the users' larger sites; ten times that is a storm, in which the lines of
// those that fail matter more than those of the ones that were served.
constexpr std::uint32_t linesPerSecond = 400;

EventQuota& quota()
{
    static EventQuota instance(linesPerSecond);
    return instance;
}

std::atomic<std::uint64_t> leftOutCount { 0 };

log4cxx::LoggerPtr const& logger()
{
    static log4cxx::LoggerPtr const instance = log4cxx::Logger::getLogger("currantvale");
    return instance;
}

log4cxx::LevelPtr levelOf(Severity severity)
{
    switch (severity) {
    case Severity::Debug:
        return log4cxx::Level::getDebug();
    case Severity::Info:
        return log4cxx::Level::getInfo();
    case Severity::Warning:
        return log4cxx::Level::getWarn();
    case Severity::Error:
        break;
    }
    return log4cxx::Level::getError();
}

bool isControl(unsigned char c)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return c < firstPrintable || c == deleteCharacter;
}

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \"=") != std::string_view::npos || std::any_of(text.begin(), text.end(), isControl);
}

// Some values come from outside: they may be long, and must not end the line or change a terminal's state.
void appendValue(std::string& line, std::string_view value)
{
    constexpr std::size_t mostBytes = 4'096;
    value = value.substr(0, mostBytes);
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (char c : value) {
        if (c == '"' || c == '\\')
            line += '\\';
        line += isControl(static_cast<unsigned char>(c)) ? ' ' : c;
    }
    line += '"';
}

}

void startEventLog(Severity threshold)
{
    log4cxx::LayoutPtr layout(new log4cxx::PatternLayout("%d{ISO8601} %-5p %m%n"));
    log4cxx::AppenderPtr appender(new log4cxx::ConsoleAppender(layout, log4cxx::ConsoleAppender::getSystemOut()));
    log4cxx::AsyncAppenderPtr buffer(new log4cxx::AsyncAppender());
    buffer->setBufferSize(bufferedLines);
    buffer->setBlocking(false);
    buffer->addAppender(appender);
    log4cxx::BasicConfigurator::configure(buffer);
    logger()->setLevel(levelOf(threshold));
}

void stopEventLog()
{
    for (std::pair<Event, std::string_view> const& it : eventNames) {
        std::uint32_t lines = quota().takeLeftOut(it.first);
        if (lines > 0)
            logger()->forcedLog(levelOf(Severity::Warning), formatEvent(Event::LinesLeftOut, { { "of", std::string(it.second) }, { "lines", std::to_string(lines) } }));
    }
    log4cxx::LogManager::shutdown();
}

void setEventLogThreshold(Severity threshold)
{
    logger()->setLevel(levelOf(threshold));
}

bool isLogged(Severity severity)
{
    return logger()->isEnabledFor(levelOf(severity));
}

void logEvent(Severity severity, Event event, std::initializer_list<EventField> fields)
{
    if (!isLogged(severity))
        return;
    if (severity <= Severity::Info) {
        EventQuota::Admission admission = quota().admit(event, std::chrono::steady_clock::now());
        if (admission.leftOut > 0)
            logger()->forcedLog(levelOf(Severity::Warning), formatEvent(Event::LinesLeftOut, { { "of", std::string(nameOf(eventNames, event)) }, { "lines", std::to_string(admission.leftOut) } }));
        if (!admission.isAdmitted) {
            ++leftOutCount;
            return;
        }
    }
    logger()->forcedLog(levelOf(severity), formatEvent(event, fields));
}

std::uint64_t linesLeftOut()
{
    return leftOutCount;
}

std::string formatEvent(Event event, std::initializer_list<EventField> fields)
{
    std::string line = "event=" + std::to_string(static_cast<std::underlying_type_t<Event>>(event));
    line += " name=";
    line += nameOf(eventNames, event);
    for (EventField const& field : fields) {
        line += ' ';
        line += field.first;
        line += '=';
        appendValue(line, field.second);
    }
    return line;
}

}
