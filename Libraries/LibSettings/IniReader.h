#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace Settings {

/// One `key = value` line of an INI file.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    std::size_t line { 0 }; ///< Counted from 1.
};

/// What an INI file holds, and the lines that are not INI.
struct IniFile {
    std::vector<IniEntry> entries;
    std::vector<std::size_t> malformedLines;
};

/// Reads INI text (inih's dialect: `;` and `#` begin comments). Thread-safe.
IniFile readIni(std::string_view text);

}
