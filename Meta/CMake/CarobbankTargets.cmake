# Functions that declare the targets of a folder from all of its .cc files.

# carobbank_library(<name> <dependencies...>): a static library.
function(carobbank_library name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC ${ARGN})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE ${ARGN})
  endif()
endfunction()

# carobbank_program(<target> <dependencies...>): an executable.
function(carobbank_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(sources)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE ${ARGN})
  endif()
endfunction()

# carobbank_test(<name> <dependencies...>): one CppUTest program from all .cc files
# of the folder, registered with CTest with a fixed RapidCheck seed.
function(carobbank_test name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  if(NOT sources)
    return()
  endif()
  add_executable(${name}Test ${sources} ${CMAKE_SOURCE_DIR}/Tests/Support/test_main.cc)
  target_include_directories(${name}Test PRIVATE ${CMAKE_SOURCE_DIR}/Tests)
  target_link_libraries(${name}Test PRIVATE ${ARGN} PkgConfig::CPPUTEST rapidcheck)
  add_test(NAME ${name} COMMAND ${name}Test WORKING_DIRECTORY ${CMAKE_SOURCE_DIR})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203;CAROBBANK_BIN=${CMAKE_BINARY_DIR}/bin" TIMEOUT 180)
endfunction()
