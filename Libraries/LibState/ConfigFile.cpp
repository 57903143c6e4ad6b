#include <LibState/ConfigFile.h>
#include <algorithm>
#include <ini.h>
#include <vector>

namespace State {

namespace {

struct Section {
    std::string header;
    int line { 0 };
    Fields fields;
    std::map<std::string, int> lines; ///< Of each key.
};

/// Hands the text to inih line by line. It notes what inih does not tell its handler: the line's number, the
/// whole section header (inih cuts it at 49 characters), and whether a line continues the one above.
class Reader {
public:
    Reader(std::string_view text, std::string const& fileName)
        : m_rest(text)
        , m_fileName(fileName)
    {
    }

    void run();
    std::vector<Section> const& sections() const { return m_sections; }
    std::string const& errors() const { return m_errors; }
    void addError(int line, std::string const& message) { m_errors.append(m_fileName + ":" + std::to_string(line) + ": " + message + "\n"); }

private:
    static char* readLine(char* buf, int size, void* reader) { return static_cast<Reader*>(reader)->nextLine(buf, static_cast<std::size_t>(size)); }
    static int handle(void* reader, char const* /*section*/, char const* name, char const* value);

    char* nextLine(char* buf, std::size_t size);
    void startSection(std::string_view line);
    void addField(std::string const& name, std::string const& value);

    std::string_view m_rest;
    std::string const& m_fileName;
    int m_line { 0 };
    bool m_isIndented { false };
    std::string m_lastKey;
    std::vector<Section> m_sections;
    std::string m_errors;
};

void Reader::run()
{
    int line = ini_parse_stream(&Reader::readLine, this, &Reader::handle, this);
    if (line > 0)
        addError(line, "read neither a section, a key with '=' and a value, nor a comment");
}

char* Reader::nextLine(char* buf, std::size_t size)
{
    if (m_rest.empty())
        return nullptr;
    ++m_line;
    std::size_t newline = m_rest.find('\n');
    std::string_view line = m_rest.substr(0, newline);
    m_rest.remove_prefix(newline == std::string_view::npos ? m_rest.size() : newline + 1);
    if (line.size() + 1 > size) {
        addError(m_line, "the line has " + std::to_string(line.size()) + " characters, allowed: at most " + std::to_string(size - 1) + "; continue it on an indented line");
        line = {};
    }
    if (line.find('\0') != std::string_view::npos) {
        addError(m_line, "read a zero byte, allowed: text");
        line = {};
    }
    m_isIndented = !line.empty() && (line.front() == ' ' || line.front() == '\t');
    if (line.starts_with('['))
        startSection(line);
    std::copy(line.begin(), line.end(), buf);
    buf[line.size()] = '\0';
    return buf;
}

void Reader::startSection(std::string_view line)
{
    std::size_t end = line.find(']');
    m_sections.push_back({ std::string(line.substr(1, end == std::string_view::npos ? end : end - 1)), m_line, {}, {} });
    m_lastKey.clear();
}

int Reader::handle(void* reader, char const* /*section*/, char const* name, char const* value)
{
    static_cast<Reader*>(reader)->addField(name, value);
    return 1;
}

/// inih strips a comment behind a value, but not from a line that continues one.
std::string withoutComment(std::string const& value)
{
    std::size_t end = std::min(value.find(" ;"), value.find("\t;"));
    return value.substr(0, end);
}

void Reader::addField(std::string const& name, std::string const& value)
{
    if (m_sections.empty()) {
        addError(m_line, "key '" + name + "' stands before the first section");
        return;
    }
    Section& section = m_sections.back();
    if (m_isIndented && name == m_lastKey) {
        section.fields[name] += " " + withoutComment(value);
        return;
    }
    m_lastKey = name;
    if (section.fields.emplace(name, value).second)
        section.lines.emplace(name, m_line);
    else
        addError(m_line, "[" + section.header + "] " + name + ": given twice, first in line " + std::to_string(section.lines[name]));
}

Core::Result<ObjectKey> parseHeader(std::string const& header)
{
    std::size_t space = header.find(' ');
    std::optional<Kind> kind = Core::valueOf(kindNames, std::string_view(header).substr(0, space));
    if (!kind || space == std::string::npos)
        return Core::fail(Core::ErrorCode::BadInput, "read section, allowed: target NAME, request-rule NAME, route NAME, group NAME, organisation NAME");
    ObjectKey key { *kind, header.substr(space + 1) };
    BOOST_OUTCOME_TRY(checkName(key.name));
    return key;
}

/// The line of the key with which an error's message starts, or that of the section.
int lineOfError(Section const& section, std::string const& message)
{
    for (std::map<std::string, int>::value_type const& it : section.lines) {
        if (message.starts_with(it.first + ":") || message.starts_with("read key '" + it.first + "'"))
            return it.second;
    }
    return section.line;
}

void addObject(Reader& reader, Section const& section, ConfigFile& file)
{
    std::string heading = "[" + section.header + "] ";
    Core::Result<ObjectKey> key = parseHeader(section.header);
    if (!key) {
        reader.addError(section.line, heading + key.error().message);
        return;
    }
    Core::Result<Content> content = parseContent(key.value().kind, section.fields);
    if (!content) {
        reader.addError(lineOfError(section, content.error().message), heading + content.error().message);
        return;
    }
    if (!file.objects.emplace(key.value(), std::move(content).value()).second)
        reader.addError(section.line, heading + "given twice");
}

}

Core::Result<ConfigFile> ConfigFile::parse(std::string_view text, std::string const& fileName)
{
    Reader reader(text, fileName);
    reader.run();
    ConfigFile file;
    std::vector<Section> sections = reader.sections();
    for (Section const& section : sections)
        addObject(reader, section, file);
    if (!reader.errors().empty())
        return Core::fail(Core::ErrorCode::BadInput, reader.errors().substr(0, reader.errors().size() - 1));
    return file;
}

}
