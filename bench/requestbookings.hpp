#pragma once

namespace turmericplank::bench {

/// @brief Measures bookings with a store that limits the rate of transactions, and prints the figures.
void measureBookings(unsigned seed);

} // namespace turmericplank::bench
