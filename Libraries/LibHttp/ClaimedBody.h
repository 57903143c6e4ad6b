#pragma once

#include <LibHttp/RequestMemory.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <string>

namespace Http {

/// A body for Beast's parser that is read into a string, each part only when its memory has room for it.
struct ClaimedBody {
    struct Value {
        std::string text;
        RequestMemory* memory { nullptr }; ///< Set before the body is read.
        std::size_t otherBytes { 0 }; ///< That the request holds beside its body.
    };

    class Reader {
    public:
        template <bool isRequest, typename HeadFields>
        explicit Reader(boost::beast::http::header<isRequest, HeadFields>&, Value& value)
            : m_value(value)
        {
        }

        void init(boost::optional<std::uint64_t> const& length, boost::system::error_code& ec)
        {
            ec = {};
            if (length)
                m_value.text.reserve(static_cast<std::size_t>(*length));
        }

        template <typename ConstBufferSequence>
        std::size_t put(ConstBufferSequence const& buffers, boost::system::error_code& ec)
        {
            std::size_t size = boost::beast::buffer_bytes(buffers);
            if (!m_value.memory->grow(m_value.otherBytes + m_value.text.size() + size)) {
                ec = make_error_code(boost::system::errc::not_enough_memory);
                return 0;
            }
            m_value.memory->noteArrived(size);
            for (boost::asio::const_buffer it : boost::beast::buffers_range_ref(buffers))
                m_value.text.append(static_cast<char const*>(it.data()), it.size());
            ec = {};
            return size;
        }

        void finish(boost::system::error_code& ec) { ec = {}; }

    private:
        Value& m_value;
    };

    using value_type = Value;
    // NOLINTNEXTLINE(readability-identifier-naming): Beast's requirements on bodies name it.
    using reader = Reader;
};

}
