#pragma once

#include <LibCore/Result.h>
#include <LibStreams/ReleaseBook.h>
#include <LibStreams/StreamOrigin.h>
#include <string>
#include <string_view>
#include <vector>

namespace Daemon {

/// Forms of what daemons say of streams to each other and in the store. `decode` errors: Corrupt. Thread-safe.
std::string encode(std::vector<Streams::BegunStream> const&);
Core::Result<std::vector<Streams::BegunStream>> decodeBegunStreams(std::string_view);

/// Of a record only the releases are in its value; the store tells its offset.
std::string encode(std::set<std::string> const& releases);
Core::Result<Streams::ReleaseRecord> decodeReleases(std::uint64_t offset, std::string_view);

}
