#pragma once

#include "turmericplank/requests/dispatcher.hpp"

namespace turmericplank::requests {

/// @brief One request in progress.
struct Dispatcher::Call
{
    Call(IncomingCall callArrival, EndpointCallOptions options)
        : arrival(std::move(callArrival))
        , attempts(std::move(options), arrival.deadline)
    {
    }

    IncomingCall arrival;
    EndpointCall attempts;
    std::optional<EndpointChoice> running; ///< endpoint that a run is at
    std::optional<EndpointChoice> trial; ///< endpoint that the call's trial is at or asked for
    std::string answer; ///< a booking's answer before it is stored
    base::Time dispatchAt; ///< next try of a call that waits for its trial
    bool isWaiting = false;
    bool isGranted = false; ///< a booking that this daemon may send
    bool hasFirstPiece = false;
    bool isOver = false;
};

} // namespace turmericplank::requests
