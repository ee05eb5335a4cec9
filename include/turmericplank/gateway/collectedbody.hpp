#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace turmericplank::gateway {

class CollectionBudget;

/// @brief A response body that is collected until it is complete. Its bytes count in a budget until it is taken or destroyed.
class CollectedBody : public boost::intrusive_ref_counter<CollectedBody, boost::thread_unsafe_counter>,
                      public boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    /// @param onGiveWay called at most once, within append() of this or another body, after the bytes were released
    CollectedBody(boost::intrusive_ptr<CollectionBudget> budget, std::function<void()> onGiveWay);
    ~CollectedBody();

    /// @brief Adds bytes; ignored after the body has given way.
    void append(std::string_view bytes);

    /// @brief Whether the bytes were dropped to keep to the budget.
    bool hasGivenWay() const;

    /// @brief Returns all bytes, which count no longer.
    std::string take();

private:
    friend class CollectionBudget;

    void giveWay();

    boost::intrusive_ptr<CollectionBudget> m_budget;
    std::function<void()> m_onGiveWay; ///< empty after the body has given way
    std::string m_bytes;
};

/// @brief Bounds the bytes of all response bodies that a process collects at the same time.
///
/// Load that it answers: many calls at endpoints whose responses do not end. Each response alone is within its limit, all of them
/// together may exceed the memory. The largest body gives way, since a response that does not end is sooner or later the largest.
class CollectionBudget : public boost::intrusive_ref_counter<CollectionBudget, boost::thread_unsafe_counter>
{
public:
    /// @param maxBytes of all bodies together
    explicit CollectionBudget(std::size_t maxBytes);

    /// @brief Bytes of all bodies.
    std::size_t bytes() const;

private:
    friend class CollectedBody;

    void reduceToLimit();

    std::size_t m_maxBytes;
    std::size_t m_bytes = 0;
    boost::intrusive::list<CollectedBody, boost::intrusive::constant_time_size<false>> m_bodies;
};

using CollectionBudgetPointer = boost::intrusive_ptr<CollectionBudget>;

} // namespace turmericplank::gateway
