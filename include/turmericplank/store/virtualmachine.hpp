#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::store {

/// @brief One row of the platform's list of VMs, which lags behind their actual state.
struct VirtualMachine
{
    std::string id;
    base::Address address;
    base::ZoneName zone;
    bool isLeaving = false; ///< announced as leaving by the platform

    friend bool operator==(const VirtualMachine &, const VirtualMachine &) = default;
};

/// @brief Requests the platform's list of VMs; the callback is called exactly once.
using ListVirtualMachines = std::function<void(std::function<void(tl::expected<std::vector<VirtualMachine>, TableFailure>)>)>;

} // namespace turmericplank::store
