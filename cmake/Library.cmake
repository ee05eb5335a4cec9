# The library has two tiers: decision slices are pure logic and include no socket library; shell slices turn received bytes
# into events for the decision slices and the resulting actions into bytes to send.
set(TURMERICPLANK_DECISION_SLICES base store configuration membership routing requests placement routes discovery
    forwarding accounts)
set(TURMERICPLANK_SHELL_SLICES telemetry net peer daemon gateway)

function(turmericplank_slice_sources output)
  set(sources)
  foreach(slice IN LISTS ARGN)
    file(GLOB found CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/src/turmericplank/${slice}/*.cpp")
    list(FILTER found EXCLUDE REGEX "_test\\.cpp$")
    list(APPEND sources ${found})
  endforeach()
  set(${output} ${sources} PARENT_SCOPE)
endfunction()

turmericplank_slice_sources(decision_sources ${TURMERICPLANK_DECISION_SLICES})
add_library(turmericplank_decisions STATIC ${decision_sources})
target_include_directories(turmericplank_decisions PUBLIC "${PROJECT_SOURCE_DIR}/include" PRIVATE "${PROJECT_SOURCE_DIR}/src")
target_link_libraries(turmericplank_decisions PUBLIC Boost::headers tl::expected nlohmann_json::nlohmann_json OpenSSL::Crypto
                                                     ${XXHASH_LIBRARY})

turmericplank_slice_sources(shell_sources ${TURMERICPLANK_SHELL_SLICES})
add_library(turmericplank STATIC ${shell_sources})
target_include_directories(turmericplank PRIVATE "${PROJECT_SOURCE_DIR}/src")
target_link_libraries(turmericplank PUBLIC turmericplank_decisions Threads::Threads CLI11::CLI11 ${NGHTTP2_LIBRARY} ${LOG4CXX_LIBRARY})

# Adapter for the users' platform: the only code that knows its names, formats and calls.
file(GLOB platform_sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/platform/*.cpp")
list(FILTER platform_sources EXCLUDE REGEX "_test\\.cpp$")
add_library(turmericplank_platform STATIC ${platform_sources})
target_include_directories(turmericplank_platform PUBLIC "${PROJECT_SOURCE_DIR}/platform")
target_link_libraries(turmericplank_platform PUBLIC turmericplank)
