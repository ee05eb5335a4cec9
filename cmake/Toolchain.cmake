# Language standard, output folders, warnings, sanitizers and compiler cache.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2")

# GCC reports a false use after free where the last reference of an intrusive pointer is released.
add_compile_options(-Wall -Wextra -Wpedantic -Wno-missing-field-initializers $<$<CXX_COMPILER_ID:GNU>:-Wno-use-after-free>)

set(TURMERICPLANK_SANITIZE "" CACHE STRING "Sanitizers, for example address,undefined or thread")
if(TURMERICPLANK_SANITIZE)
  add_compile_options(-fsanitize=${TURMERICPLANK_SANITIZE} -fno-sanitize-recover=all -fno-omit-frame-pointer -g1 -O1)
  add_link_options(-fsanitize=${TURMERICPLANK_SANITIZE})
  if(TURMERICPLANK_SANITIZE STREQUAL "thread")
    add_compile_options($<$<CXX_COMPILER_ID:GNU>:-Wno-tsan>)
  endif()
endif()

# CCACHE_BASEDIR lets checkouts in different folders share cache entries.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      "${CMAKE_COMMAND}" -E env "CCACHE_BASEDIR=${PROJECT_SOURCE_DIR}" CCACHE_NOHASHDIR=true "${CCACHE_PROGRAM}")
endif()
