#include <LibOperator/Story.h>
#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <tuple>

namespace Operator {

namespace {

// What happened to a target or a daemon, and the field that names it.
struct BackgroundEvent {
    std::string_view event;
    std::string_view field;
};

constexpr std::array<BackgroundEvent, 9> backgroundEvents { {
    { "target-added", "target" },
    { "target-removed", "target" },
    { "target-failing", "target" },
    { "target-unreachable", "target" },
    { "role-decided", "engine" },
    { "order-sent", "engine" },
    { "shutdown-started", "" },
    { "log-unavailable", "" },
    { "settings-reloaded", "" },
} };

constexpr std::size_t timeLength = 23; // 2026-12-03 10:11:12,345
constexpr int secondsBefore = 5;
constexpr int secondsBehind = 1;
constexpr int secondsPerDay = 24 * 3600;

bool isTime(std::string_view text)
{
    constexpr std::string_view form = "dddd-dd-dd dd:dd:dd,ddd";
    if (text.size() < form.size())
        return false;
    for (std::size_t n = 0; n < form.size(); ++n) {
        bool isDigit = std::isdigit(static_cast<unsigned char>(text[n])) != 0;
        if (form[n] == 'd' ? !isDigit : text[n] != form[n])
            return false;
    }
    return true;
}

int secondOfDay(std::string const& time)
{
    constexpr std::size_t hour = 11;
    constexpr std::size_t minute = 14;
    constexpr std::size_t second = 17;
    return std::stoi(time.substr(hour, 2)) * 3600 + std::stoi(time.substr(minute, 2)) * 60 + std::stoi(time.substr(second, 2));
}

// Reads key=value pairs; a value in quotes may hold white space, and quotes behind a backslash.
std::map<std::string, std::string, std::less<>> readFields(std::string_view text)
{
    std::map<std::string, std::string, std::less<>> fields;
    std::size_t at = 0;
    while (at < text.size()) {
        std::size_t equals = text.find('=', at);
        if (equals == std::string_view::npos)
            break;
        std::string name(text.substr(at, equals - at));
        std::string value;
        at = equals + 1;
        if (at < text.size() && text[at] == '"') {
            for (++at; at < text.size() && text[at] != '"'; ++at) {
                at += text[at] == '\\' && at + 1 < text.size() ? 1 : 0;
                value += text[at];
            }
            at = std::min(at + 2, text.size());
        } else {
            std::size_t end = std::min(text.find(' ', at), text.size());
            value = text.substr(at, end - at);
            at = std::min(end + 1, text.size());
        }
        fields[std::move(name)] = std::move(value);
    }
    return fields;
}

BackgroundEvent const* backgroundOf(std::string_view event)
{
    auto const* it = std::find_if(backgroundEvents.begin(), backgroundEvents.end(), [event](BackgroundEvent const& known) { return known.event == event; });
    return it != backgroundEvents.end() ? it : nullptr;
}

bool isEarlier(LogLine const& a, LogLine const& b)
{
    return std::tie(a.time, a.order) < std::tie(b.time, b.order);
}

LogLine const* lastOf(std::vector<LogLine> const& lines, std::string_view event)
{
    LogLine const* found = nullptr;
    for (LogLine const& line : lines)
        found = line.event == event ? &line : found;
    return found;
}

}

std::string_view LogLine::field(std::string_view name) const
{
    std::map<std::string, std::string, std::less<>>::const_iterator it = fields.find(name);
    return it != fields.end() ? std::string_view(it->second) : std::string_view();
}

int secondsBetween(std::string const& from, std::string const& to)
{
    int difference = secondOfDay(to) - secondOfDay(from);
    if (difference > secondsPerDay / 2)
        return difference - secondsPerDay;
    return difference < -secondsPerDay / 2 ? difference + secondsPerDay : difference;
}

Core::Result<LogLine> parseLogLine(std::string_view line, std::string const& file)
{
    std::size_t fieldsAt = line.find("event=");
    std::size_t timeAt = 0;
    while (timeAt < std::min(fieldsAt, line.size()) && !isTime(line.substr(timeAt)))
        ++timeAt;
    if (fieldsAt == std::string_view::npos || timeAt >= fieldsAt)
        return Core::fail(Core::ErrorCode::NotFound, "no event line");
    LogLine parsed;
    parsed.time = line.substr(timeAt, timeLength);
    parsed.source = file;
    std::string_view prefix = line.substr(0, timeAt);
    std::size_t last = prefix.find_last_not_of(' ');
    if (last != std::string_view::npos) {
        std::size_t first = prefix.find_last_of(' ', last);
        parsed.source = prefix.substr(first == std::string_view::npos ? 0 : first + 1, last - (first == std::string_view::npos ? 0 : first + 1) + 1);
    }
    parsed.fields = readFields(line.substr(fieldsAt));
    parsed.event = parsed.field("name");
    parsed.fields.erase("event");
    parsed.fields.erase("name");
    if (parsed.event.empty())
        return Core::fail(Core::ErrorCode::NotFound, "no event line");
    return parsed;
}

void Story::read(std::istream& stream, std::string const& file)
{
    std::string text;
    while (std::getline(stream, text)) {
        // Most lines are of other requests: those are not taken apart.
        bool isOfRequest = text.find(m_requestId) != std::string::npos;
        bool isOfAnyRequest = text.find(" request=") != std::string::npos;
        if (!isOfRequest && isOfAnyRequest)
            continue;
        Core::Result<LogLine> line = parseLogLine(text, file);
        if (!line.has_value() || !(isOwn(line.value()) || backgroundOf(line.value().event)))
            continue;
        line.value().order = m_lines.size();
        m_lines.push_back(std::move(line.value()));
    }
}

bool Story::isOwn(LogLine const& line) const
{
    return line.field("request") == m_requestId;
}

std::vector<LogLine> Story::ownLines() const
{
    std::vector<LogLine> own;
    std::copy_if(m_lines.begin(), m_lines.end(), std::back_inserter(own), [this](LogLine const& line) { return isOwn(line); });
    std::sort(own.begin(), own.end(), isEarlier);
    return own;
}

std::vector<LogLine> Story::lines() const
{
    std::vector<LogLine> lines = ownLines();
    if (lines.empty())
        return lines;
    std::set<std::string, std::less<>> targets;
    std::set<std::string> sources;
    for (LogLine const& line : lines) {
        targets.emplace(line.field("target"));
        sources.insert(line.source);
    }
    std::string begin = lines.front().time;
    std::string end = lines.back().time;
    for (LogLine const& line : m_lines) {
        BackgroundEvent const* background = backgroundOf(line.event);
        if (!background || isOwn(line) || secondsBetween(line.time, begin) > secondsBefore || secondsBetween(end, line.time) > secondsBehind)
            continue;
        // What one daemon says of itself concerns its requests alone; a target's role is everybody's matter.
        bool isOfTarget = !background->field.empty() && targets.contains(line.field(background->field));
        bool isHere = sources.contains(line.source);
        bool isOrder = line.event == "role-decided" || line.event == "order-sent";
        if (isOfTarget ? isHere || isOrder : background->field.empty() && isHere)
            lines.push_back(line);
    }
    std::sort(lines.begin(), lines.end(), isEarlier);
    return lines;
}

std::string Story::cause() const
{
    std::vector<LogLine> own = ownLines();
    if (own.empty())
        return "No line names this request: it did not reach a daemon whose log is here, or its lines were left out (lines-left-out).";
    if (LogLine const* rejected = lastOf(own, "request-rejected"))
        return "It was not taken (" + std::string(rejected->field("verdict")) + "): " + std::string(rejected->field("error")) + ".";
    LogLine const* finished = lastOf(own, "request-finished");
    if (!finished)
        return "It has no final answer in these logs: its daemon ended before it, or its log ends here.";
    std::string text = "It ended with verdict " + std::string(finished->field("verdict")) + " after " + std::string(finished->field("attempts")) + " attempt(s) and " + std::string(finished->field("total_ms")) + " ms";
    if (finished->field("error") == "-")
        return text + ": the answer of " + std::string(finished->field("target")) + " was passed on" + (finished->field("target_status").empty() ? "" : " with status " + std::string(finished->field("target_status"))) + ".";
    text += ": " + std::string(finished->field("error"));
    if (LogLine const* failed = lastOf(own, "attempt-failed"))
        text += " The last attempt failed at " + std::string(failed->field("target")) + " (" + std::string(failed->field("step")) + "): " + std::string(failed->field("error").empty() ? "refused" : failed->field("error")) + ".";
    else if (LogLine const* refused = lastOf(own, "route-refused"))
        text += " No target: " + std::string(refused->field("reason")) + ".";
    else if (LogLine const* decided = lastOf(own, "route-decided"))
        text += " It was waiting for " + std::string(decided->field("target")) + ", expected after " + std::string(decided->field("score")) + " s.";
    return text;
}

}
