#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace turmericplank::base {

/// @brief Strongly typed name; identifiers with different tags do not convert into each other.
/// @tparam Tag an empty struct that makes the type distinct
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    /// @brief The name as it appears in documents and messages.
    const std::string &text() const
    {
        return m_text;
    }

    /// @brief Whether the name is the empty string.
    bool isEmpty() const
    {
        return m_text.empty();
    }

    friend auto operator<=>(const Identifier &, const Identifier &) = default;
    friend bool operator==(const Identifier &, const Identifier &) = default;

    friend std::ostream &operator<<(std::ostream &out, const Identifier &it)
    {
        return out << it.m_text;
    }

private:
    std::string m_text;
};

/// @brief A model, without its version.
using ModelName = Identifier<struct ModelNameTag>;
/// @brief An adapter, loaded in addition to its base model.
using AdapterName = Identifier<struct AdapterNameTag>;
/// @brief One model engine on one accelerator, or one instance of a plain service.
using EndpointId = Identifier<struct EndpointIdTag>;
/// @brief A plain service that requests are routed to.
using ServiceName = Identifier<struct ServiceNameTag>;
/// @brief One daemon, named after its entry VM.
using DaemonId = Identifier<struct DaemonIdTag>;
/// @brief An availability zone, written region/zone.
using ZoneName = Identifier<struct ZoneNameTag>;
/// @brief A cell: the daemons and endpoints covered by one placement lease.
using CellName = Identifier<struct CellNameTag>;
/// @brief A client account; its requests share limits and priorities.
using CallerName = Identifier<struct CallerNameTag>;
/// @brief One request, as it is identified in logs and responses.
using RequestId = Identifier<struct RequestIdTag>;
/// @brief Key that the caller sets on a call that must not run twice.
using IdempotencyKey = Identifier<struct IdempotencyKeyTag>;
/// @brief A section of the configuration document, owned by one team.
using SectionName = Identifier<struct SectionNameTag>;

} // namespace turmericplank::base

template<typename Tag>
struct std::hash<turmericplank::base::Identifier<Tag>>
{
    std::size_t operator()(const turmericplank::base::Identifier<Tag> &it) const noexcept
    {
        return std::hash<std::string>()(it.text());
    }
};
