#pragma once

#include <LibStandIn/Api.h>
#include <LibStandIn/Signal.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

/// Stands in for the users' platform's store: logs whose newest record of each key stays. It keeps all records, and
/// serves appends (also conditional ones), reads that wait, and reads of the newest records. Use from its thread only.
class KeyedStoreApi final : public Api {
public:
    static std::shared_ptr<KeyedStoreApi> create() { return std::shared_ptr<KeyedStoreApi>(new KeyedStoreApi); }

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

private:
    struct Record {
        std::string key;
        std::optional<std::string> value;
    };

    KeyedStoreApi() = default;
    Http::Response append(Target const&, std::string_view body);
    Http::Response newest(Target const&) const;
    boost::asio::awaitable<Http::Response> read(Target);

    std::map<std::string, std::vector<Record>> m_topics;
    Signal m_changed;
    Faults m_faults;
};

}
