#pragma once

#include <LibCore/Result.h>
#include <LibOperator/Messages.h>
#include <string>
#include <string_view>

/// The JSON bodies of the operators' listener, for the daemon and the tool alike (docs/design/operators-api.md).
/// Every `decode` reads what its `encode` wrote; errors are BadInput and name the key. All are thread-safe.
namespace Operator {

std::string encode(State::ConfigRecord const&);
Core::Result<State::ConfigRecord> decodeRecord(std::string_view);

std::string encode(ConfigDocument const&);
Core::Result<ConfigDocument> decodeConfig(std::string_view);

std::string encode(ChangeReply const&);
Core::Result<ChangeReply> decodeReply(std::string_view);

std::string encode(std::vector<HistoryEntry> const&);
Core::Result<std::vector<HistoryEntry>> decodeHistory(std::string_view);

std::string encode(Progress const&);
Core::Result<Progress> decodeProgress(std::string_view);

}
