#pragma once

#include <cstdint>
#include <nghttp2/nghttp2.h>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Peer {

inline constexpr std::string_view senderNameHeader = "x-sender-name";
inline constexpr std::string_view senderIncarnationHeader = "x-sender-incarnation";

/// Header fields for one submission to nghttp2. Internal to LibPeer; not thread-safe.
class HeaderList {
public:
    /// Adds a field. `name` must outlive the list; the value is copied.
    void add(std::string_view name, std::string value) { m_fields.emplace_back(name, std::move(value)); }
    std::size_t size() const { return m_fields.size(); }
    /// Returns the fields as nghttp2 takes them; valid until the next call of a method.
    nghttp2_nv const* data()
    {
        m_native.clear();
        for (std::pair<std::string_view, std::string> const& field : m_fields)
            m_native.push_back({ bytes(field.first), bytes(field.second), field.first.size(), field.second.size(), NGHTTP2_NV_FLAG_NONE });
        return m_native.data();
    }

private:
    // nghttp2 1.52 takes pointers to mutable bytes but only reads them.
    static std::uint8_t* bytes(std::string_view text)
    {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    }

    std::vector<std::pair<std::string_view, std::string>> m_fields;
    std::vector<nghttp2_nv> m_native;
};

}
