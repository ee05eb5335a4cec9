#include "turmericplank/placement/conditionalorder.hpp"

namespace turmericplank::placement {

std::string_view toString(ConditionalAnswer answer)
{
    switch (answer) {
    case ConditionalAnswer::Accepted:
        return "accepted";
    case ConditionalAnswer::AlreadySo:
        return "already_so";
    case ConditionalAnswer::WrongState:
        return "wrong_state";
    case ConditionalAnswer::StaleTerm:
        return "stale_term";
    case ConditionalAnswer::Misdirected:
        return "misdirected";
    case ConditionalAnswer::Rejected:
        return "rejected";
    case ConditionalAnswer::Lost:
        return "lost";
    }
    return "lost";
}

} // namespace turmericplank::placement
