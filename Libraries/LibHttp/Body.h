#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Http {

/// The bytes of a request's body. Copies share them, so that a body is held once, however many requests are made of the one that it
/// came with. Immutable. Thread-safe.
class Body {
public:
    Body() = default;

    Body(std::string text)
        : m_text(text.empty() ? nullptr : std::make_shared<std::string const>(std::move(text)))
    {
    }

    Body(char const* text)
        : Body(std::string(text))
    {
    }

    /// Shares bytes that something else keeps. Precondition: they do not change any more.
    explicit Body(std::shared_ptr<std::string const> text)
        : m_text(std::move(text))
    {
    }

    std::string const& text() const
    {
        static std::string const none;
        return m_text ? *m_text : none;
    }

    operator std::string_view() const { return text(); }

    std::size_t size() const { return text().size(); }
    bool empty() const { return text().empty(); }

    bool operator==(Body const& other) const { return text() == other.text(); }

private:
    std::shared_ptr<std::string const> m_text; ///< Null if empty.
};

}
