#pragma once

#include <LibCore/Result.h>
#include <LibState/Content.h>
#include <LibState/ObjectKey.h>
#include <map>
#include <string>
#include <string_view>

namespace State {

/// The operators' INI file: one section an object, headed `[KIND NAME]`. An indented line continues the value
/// above it.
struct ConfigFile {
    std::map<ObjectKey, Content> objects;

    /// Parses and validates `text`. Errors (BadInput): all of them, one a line, as `FILE:LINE: [SECTION] KEY: ...`,
    /// `fileName` being used for nothing else. Objects and keys that are given twice are errors. Thread-safe.
    static Core::Result<ConfigFile> parse(std::string_view text, std::string const& fileName);
};

}
