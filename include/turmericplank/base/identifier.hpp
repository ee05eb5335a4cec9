#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace turmericplank::base {

/// @brief Name of one kind of thing; names of different kinds do not convert into each other.
/// @tparam Tag an empty struct that tells the kinds apart
template<typename Tag>
class Identifier
{
public:
    Identifier() = default;

    explicit Identifier(std::string text)
        : m_text(std::move(text))
    {
    }

    /// @brief The name as it is written in documents and messages.
    const std::string &text() const
    {
        return m_text;
    }

    /// @brief Whether no name was given.
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

/// @brief A model, a version of it excluded.
using ModelName = Identifier<struct ModelNameTag>;
/// @brief An adapter that is loaded beside its base model.
using AdapterName = Identifier<struct AdapterNameTag>;
/// @brief One model engine on one accelerator, or one instance of a plain service.
using EndpointId = Identifier<struct EndpointIdTag>;
/// @brief A plain service that requests are routed to.
using ServiceName = Identifier<struct ServiceNameTag>;
/// @brief One daemon, named by its entry VM.
using DaemonId = Identifier<struct DaemonIdTag>;
/// @brief An availability zone, written region/zone.
using ZoneName = Identifier<struct ZoneNameTag>;
/// @brief A cell: the daemons and endpoints that one placement lease covers.
using CellName = Identifier<struct CellNameTag>;
/// @brief A customer whose requests share limits and priorities.
using CallerName = Identifier<struct CallerNameTag>;
/// @brief One request as the logs and answers name it.
using RequestId = Identifier<struct RequestIdTag>;
/// @brief The caller's key of a call that may not be repeated.
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
