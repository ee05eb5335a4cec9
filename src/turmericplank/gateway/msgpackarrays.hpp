#pragma once

#include <cstdint>
#include <span>

#include <msgpack.hpp>

namespace turmericplank::gateway {

using Packer = msgpack::packer<msgpack::sbuffer>;

/// @brief Starts an array of a given size.
inline void packArraySize(Packer &packer, std::size_t size)
{
    packer.pack_array(static_cast<std::uint32_t>(size));
}

/// @brief Members of an array of at least the given size; the library reads beyond shorter ones when it converts them to tuples.
/// @throws msgpack::type_error if it is no array, or a shorter one
inline std::span<const msgpack::object> members(const msgpack::object &object, std::uint32_t minSize)
{
    if (object.type != msgpack::type::ARRAY || object.via.array.size < minSize) {
        throw msgpack::type_error();
    }
    return {object.via.array.ptr, object.via.array.size};
}

} // namespace turmericplank::gateway
