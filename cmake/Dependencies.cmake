# All libraries are packages of the distribution; tools/packages lists them.
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

# Set for all targets: files compiled with different settings for toml++ exceptions would share inline functions whose types
# have different layouts.
add_compile_definitions(MSGPACK_NO_BOOST TOML_EXCEPTIONS=0)
# toml++ asserts that a table header starts with a key before it checks this. Without the assertion such input yields an
# ordinary parse error. In its own release mode toml++ would let the compiler assume that the condition holds.
add_compile_options("-DTOML_ASSERT(expr)=static_assert(true)")
