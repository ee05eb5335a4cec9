#pragma once

#include <functional>

#include "turmericplank/gateway/connectionpool.hpp"
#include "turmericplank/gateway/interface.hpp"

namespace turmericplank::gateway {

/// @brief Whether a connection leads to the incarnation of an engine that it was opened for.
enum class IncarnationCheck {
    Same, ///< the connection may be used for calls
    Other, ///< the engine has started again since its entry was read
    Failed, ///< there was no answer, or none after which the connection is usable
};

/// @brief Asks an engine for its incarnation over a connection that carries no request.
/// @param wire makes the request and decodes the answer
/// @param pooled the connection; the caller keeps it, also after a failure
/// @param deadline when to give up waiting for the answer
/// @param onDone called exactly once, unless the connection is closed first
void checkIncarnation(const WireFormat &wire, const PooledConnection &pooled, base::Time deadline, std::function<void(IncarnationCheck)> onDone);

} // namespace turmericplank::gateway
