# libFuzzer targets for the code that parses external input; they need clang. The seed corpus of fuzz/NAME_fuzz.cpp is
# fuzz/corpus/NAME; sources outside the decision slices that it needs are listed below.
option(TURMERICPLANK_FUZZ_TARGETS "Build the libFuzzer targets (needs clang)" OFF)
set(TURMERICPLANK_FUZZ_RUNS 20000 CACHE STRING "Number of inputs that a test run of a fuzz target tries")

set(fuzz_accountheaders_sources platform/heldmodels.cpp platform/values.cpp platform/wireformat.cpp src/turmericplank/gateway/call.cpp
    src/turmericplank/net/httptypes.cpp)
set(fuzz_requestreader_sources src/turmericplank/net/callerbudget.cpp src/turmericplank/net/httpserver.cpp src/turmericplank/net/httptypes.cpp
    src/turmericplank/net/serverconnection.cpp src/turmericplank/net/serverexchange.cpp src/turmericplank/net/tcplistener.cpp
    src/turmericplank/net/transfercoding.cpp)

if(TURMERICPLANK_FUZZ_TARGETS)
  target_compile_options(turmericplank_decisions PRIVATE -fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=all)
  file(GLOB fuzz_sources CONFIGURE_DEPENDS "${PROJECT_SOURCE_DIR}/fuzz/*_fuzz.cpp")
  foreach(source IN LISTS fuzz_sources)
    get_filename_component(name "${source}" NAME_WE)
    string(REGEX REPLACE "_fuzz$" "" corpus "${name}")
    set(sources ${fuzz_${corpus}_sources})
    list(TRANSFORM sources PREPEND "${PROJECT_SOURCE_DIR}/")
    add_executable(${name} "${source}" ${sources})
    target_include_directories(${name} PRIVATE "${PROJECT_SOURCE_DIR}/src" "${PROJECT_SOURCE_DIR}/platform")
    target_compile_options(${name} PRIVATE -fsanitize=fuzzer,address,undefined -fno-sanitize-recover=all)
    target_link_options(${name} PRIVATE -fsanitize=fuzzer,address,undefined)
    target_link_libraries(${name} PRIVATE turmericplank_decisions Threads::Threads)
    # libFuzzer writes new inputs to the first folder, so the corpus in the source tree stays unchanged.
    set(new_inputs "${CMAKE_BINARY_DIR}/found-${corpus}")
    file(MAKE_DIRECTORY "${new_inputs}")
    add_test(NAME fuzz.${corpus} COMMAND ${name} -runs=${TURMERICPLANK_FUZZ_RUNS} -seed=20261203 -max_len=4096 -verbosity=0
                                         "${new_inputs}" "${PROJECT_SOURCE_DIR}/fuzz/corpus/${corpus}")
  endforeach()
endif()
