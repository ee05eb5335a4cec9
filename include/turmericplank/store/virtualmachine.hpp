#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "turmericplank/base/address.hpp"
#include "turmericplank/base/identifier.hpp"
#include "turmericplank/store/table.hpp"

namespace turmericplank::store {

/// @brief One row of the platform's late list of VMs.
struct VirtualMachine
{
    std::string id;
    base::Address address;
    base::ZoneName zone;
    bool isLeaving = false;

    friend bool operator==(const VirtualMachine &, const VirtualMachine &) = default;
};

/// @brief Asks the platform for its list; the hook is called exactly once.
using ListVirtualMachines = std::function<void(std::function<void(tl::expected<std::vector<VirtualMachine>, TableFailure>)>)>;

} // namespace turmericplank::store
