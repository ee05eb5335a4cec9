#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace turmericplank::telemetry {

/// @brief Writes lines to a descriptor without ever waiting for its reader.
///
/// What the reader does not take is kept up to a limit; beyond it lines are dropped and counted.
class OutputBuffer
{
public:
    /// @param descriptor where to write; its flags are left as they are, since others may share it
    /// @param limit bytes that are kept
    OutputBuffer(int descriptor, std::size_t limit);

    /// @brief Takes a whole line with its end.
    void write(std::string_view line);

    /// @brief Writes what the descriptor takes now.
    void flush();

    /// @brief Lines dropped so far.
    std::uint64_t dropped() const;

private:
    bool isWritable() const;

    int m_descriptor;
    std::size_t m_limit;
    std::string m_waiting;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTold = 0;
};

} // namespace turmericplank::telemetry
