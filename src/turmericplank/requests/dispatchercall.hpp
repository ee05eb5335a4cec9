#pragma once

#include "turmericplank/requests/dispatcher.hpp"

namespace turmericplank::requests {

/// @brief A request in progress.
struct Dispatcher::Call
{
    Call(IncomingCall incomingCall, EndpointCallOptions options)
        : incoming(std::move(incomingCall))
        , attempts(std::move(options), incoming.deadline)
    {
    }

    IncomingCall incoming;
    EndpointCall attempts;
    std::optional<EndpointChoice> running; ///< endpoint of the current run
    std::optional<EndpointChoice> trial; ///< endpoint of the call's trial, running or requested
    std::string answer; ///< answer of a booking before it is stored
    base::Time dispatchAt; ///< next attempt of a call that waits for its trial
    bool isWaitingForTrial = false;
    bool ownsBooking = false; ///< for bookings: whether this daemon may send it
    bool hasFirstPiece = false;
    bool hasEnded = false;
};

} // namespace turmericplank::requests
