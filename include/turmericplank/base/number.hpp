#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace turmericplank::base {

/// @brief Strongly typed counter; counters with different tags do not convert into each other.
/// @tparam Tag an empty struct that makes the type distinct
template<typename Tag>
class Number
{
public:
    constexpr Number() = default;

    constexpr explicit Number(std::uint64_t value)
        : m_value(value)
    {
    }

    /// @brief The plain value, as it is sent in messages.
    constexpr std::uint64_t value() const
    {
        return m_value;
    }

    /// @brief The number after this one.
    constexpr Number next() const
    {
        return Number(m_value + 1);
    }

    friend constexpr auto operator<=>(const Number &, const Number &) = default;
    friend constexpr bool operator==(const Number &, const Number &) = default;

    friend std::ostream &operator<<(std::ostream &out, const Number &it)
    {
        return out << it.m_value;
    }

private:
    std::uint64_t m_value = 0;
};

/// @brief Revision of the accepted configuration; zero means that none was accepted yet.
using Revision = Number<struct RevisionTag>;
/// @brief Term of a lease, used as the fencing token of orders.
using Term = Number<struct TermTag>;
/// @brief Incarnation of a process: it grows with each restart under the same address.
using Incarnation = Number<struct IncarnationTag>;
/// @brief Attempt of one request; response chunks of earlier attempts are dropped.
using Attempt = Number<struct AttemptTag>;
/// @brief Version of a row in the platform's table; zero means that the row is absent.
using RowVersion = Number<struct RowVersionTag>;
/// @brief Era of the platform's store: grows each time the store comes back from an older copy; versions of two eras are not
/// comparable. Zero if the store does not report it.
using StoreEra = Number<struct StoreEraTag>;

} // namespace turmericplank::base

template<typename Tag>
struct std::hash<turmericplank::base::Number<Tag>>
{
    std::size_t operator()(const turmericplank::base::Number<Tag> &it) const noexcept
    {
        return std::hash<std::uint64_t>()(it.value());
    }
};
