#include <LibSettings/IniReader.h>
#include <algorithm>
#include <ini.h>

namespace Settings {

namespace {

struct Reading {
    std::string_view rest;
    std::size_t line { 0 };
    IniFile file;
};

// inih calls this for each line; counting here tells the handler on which line it is.
char* readLine(char* buf, int size, void* stream)
{
    Reading& reading = *static_cast<Reading*>(stream);
    if (reading.rest.empty())
        return nullptr;
    ++reading.line;
    std::size_t length = std::min(reading.rest.find('\n'), reading.rest.size());
    std::size_t n = std::min(length, static_cast<std::size_t>(size) - 1);
    std::copy_n(reading.rest.begin(), n, buf);
    buf[n] = '\0';
    reading.rest.remove_prefix(std::min(length + 1, reading.rest.size()));
    return buf;
}

int takeEntry(void* user, char const* section, char const* key, char const* value)
{
    Reading& reading = *static_cast<Reading*>(user);
    reading.file.entries.push_back({ section, key, value, reading.line });
    return 1;
}

}

IniFile readIni(std::string_view text)
{
    Reading reading;
    reading.rest = text;
    // inih stops counting at the first malformed line, so go on behind it.
    while (!reading.rest.empty()) {
        std::size_t before = reading.line;
        int line = ini_parse_stream(readLine, &reading, takeEntry, &reading);
        if (line <= 0)
            break;
        reading.file.malformedLines.push_back(before + static_cast<std::size_t>(line));
    }
    return std::move(reading.file);
}

}
