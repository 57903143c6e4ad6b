#include <LibOperator/Printing.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

namespace Operator {

namespace {

/// The file's reader takes lines of up to 199 characters; longer values go on in indented lines.
constexpr std::size_t longestLine = 120;
constexpr std::string_view continuation = "\n    ";

std::string printField(std::string const& key, std::string const& value)
{
    std::string text = key + " =";
    std::size_t lineStart = 0;
    std::string_view rest = value;
    bool isFirst = true;
    while (!rest.empty()) {
        std::size_t comma = rest.find(',');
        std::string_view piece = rest.substr(0, comma == std::string_view::npos ? comma : comma + 1);
        rest.remove_prefix(piece.size());
        if (!isFirst && text.size() - lineStart + piece.size() > longestLine) {
            lineStart = text.size() + 1;
            text += continuation;
        } else if (isFirst) {
            text += " ";
        }
        text += piece;
        isFirst = false;
    }
    return text + "\n";
}

std::string printCell(boost::json::value const* value)
{
    if (!value || value->is_null())
        return "-";
    if (value->is_string())
        return value->get_string().empty() ? "-" : std::string(value->get_string());
    if (value->is_double()) {
        std::ostringstream text;
        text << value->get_double();
        return text.str();
    }
    return boost::json::serialize(*value);
}

using Row = std::vector<std::string>;

std::vector<std::string> columnsOf(boost::json::array const& list)
{
    std::vector<std::string> columns;
    for (boost::json::value const& row : list) {
        for (boost::json::key_value_pair const& it : row.get_object()) {
            if (std::ranges::find(columns, it.key()) == columns.end())
                columns.emplace_back(it.key());
        }
    }
    return columns;
}

std::string printRows(std::vector<Row> const& rows)
{
    std::vector<std::size_t> widths(rows.front().size(), 0);
    for (Row const& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    std::string text;
    for (Row const& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += "  " + row[i] + std::string(widths[i] - row[i].size(), ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

std::string printTable(boost::json::array const& list)
{
    if (list.empty())
        return "  none\n";
    std::vector<Row> rows { columnsOf(list) };
    if (rows.front().empty())
        return "  none\n";
    for (boost::json::value const& it : list) {
        Row row;
        for (std::string const& column : rows.front())
            row.push_back(printCell(it.get_object().if_contains(column)));
        rows.push_back(std::move(row));
    }
    return printRows(rows);
}

bool isTable(boost::json::value const& value)
{
    return value.is_array() && std::ranges::all_of(value.get_array(), [](boost::json::value const& it) { return it.is_object(); });
}

std::string printEdits(State::ConfigRecord const& record)
{
    std::string text;
    for (State::Edit const& it : record.edits)
        text += (text.empty() ? "" : ", ") + std::string(it.fields ? "set " : "delete ") + it.key.toString();
    return text;
}

}

std::string printFile(std::uint64_t offset, std::vector<ObjectEntry> const& objects)
{
    std::string text = "; currantctl base " + std::to_string(offset) + "\n";
    for (ObjectEntry const& object : objects) {
        text += "\n; revision " + std::to_string(object.revision) + "\n[" + object.key.toString() + "]\n";
        for (State::Fields::value_type const& it : object.fields)
            text += printField(it.first, it.second);
    }
    return text;
}

std::string printHistory(std::vector<HistoryEntry> entries)
{
    std::ranges::sort(entries, {}, &HistoryEntry::offset);
    if (entries.empty())
        return "none\n";
    std::vector<Row> rows { { "offset", "outcome", "author", "id", "edits" } };
    for (HistoryEntry const& it : entries) {
        std::string reason = it.applied == State::Applied::Accepted || it.reason.empty() ? "" : " (" + it.reason + ")";
        rows.push_back({ std::to_string(it.offset), std::string(Core::nameOf(State::appliedNames, it.applied)), it.record.author, it.record.id.toString(), printEdits(it.record) + reason });
    }
    return printRows(rows);
}

std::string printObject(boost::json::object const& object)
{
    std::string text;
    for (boost::json::key_value_pair const& it : object) {
        std::string key(it.key());
        text += isTable(it.value()) ? key + ":\n" + printTable(it.value().get_array()) : key + ": " + printCell(&it.value()) + "\n";
    }
    return text;
}

}
