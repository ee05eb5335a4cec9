# Every library comes from the distribution's packages; tools/packages lists them.
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(tl-expected REQUIRED)
find_package(tomlplusplus QUIET)
find_package(CLI11 REQUIRED)
if(NOT TURMERICPLANK_DAEMON_ONLY)
  find_package(doctest REQUIRED)
endif()

find_library(NGHTTP2_LIBRARY nghttp2 REQUIRED)
find_library(LOG4CXX_LIBRARY log4cxx REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

# Files that disagree on the exceptions of toml++ would share inline functions with different layouts.
add_compile_definitions(MSGPACK_NO_BOOST TOML_EXCEPTIONS=0)
# toml++ asserts that a table's header starts with a key before it has looked; without the assertion the same input ends
# in an ordinary error. Its own release mode would tell the compiler to rely on it.
add_compile_options("-DTOML_ASSERT(expr)=static_assert(true)")
