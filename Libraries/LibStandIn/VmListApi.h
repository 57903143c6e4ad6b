#pragma once

#include <LibStandIn/Api.h>
#include <LibStandIn/VmList.h>

namespace StandIn {

/// The stand-in VM list (docs/design/platform-protocols.md, "VM list").
class VmListApi final : public Api {
public:
    static std::shared_ptr<VmListApi> create(std::chrono::milliseconds lag);

    boost::asio::awaitable<void> serve(Http::Request&, Http::ResponseWriter&) override;

    VmList& list() { return m_list; }

private:
    explicit VmListApi(std::chrono::milliseconds lag);
    Http::Response respond(Http::Request const&);
    Core::Result<void> changeState(std::string_view body);

    VmList m_list;
    Faults m_faults;
};

}
