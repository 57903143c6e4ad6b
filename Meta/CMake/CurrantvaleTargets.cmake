# Helper functions that every folder's CMakeLists.txt uses, so that each of them stays a few lines long.

# g++ 12 takes Asio's recycling allocator of coroutine frames for a mismatched pair of new and delete.
add_compile_options(-Wall -Wextra -Werror -Wno-mismatched-new-delete -fno-omit-frame-pointer)
add_compile_definitions(BOOST_ASIO_NO_DEPRECATED)

# Sanitizer builds only run tests: they are optimized less, and carry lines but no variables, to build in time.
if(CURRANTVALE_SANITIZER)
    set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1 -DNDEBUG")
    # With the sanitizers' checks in between, g++ 12 takes an empty std::optional of a variant for an uninitialized one.
    add_compile_options(-Wno-maybe-uninitialized)
endif()

if(CURRANTVALE_SANITIZER STREQUAL "address")
    add_compile_options(-fsanitize=address,undefined -fno-sanitize-recover=all)
    add_link_options(-fsanitize=address,undefined)
elseif(CURRANTVALE_SANITIZER STREQUAL "thread")
    add_compile_options(-fsanitize=thread -Wno-tsan)
    add_link_options(-fsanitize=thread)
    add_compile_definitions(BOOST_ASIO_DISABLE_FENCED_BLOCK)
endif()

# All tests that the thread sanitizer runs.
add_custom_target(thread-tests)

# currantvale_library(LibX SOURCES a.cpp ... LINK LibY ...)
function(currantvale_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARG_LINK})
endfunction()

# currantvale_proto(LibXProto SOURCES x.pb.cc): committed generated code, compiled without our warnings.
function(currantvale_proto name)
    cmake_parse_arguments(ARG "" "" "SOURCES" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    target_compile_options(${name} PRIVATE -w)
    target_include_directories(${name} SYSTEM PUBLIC ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PUBLIC protobuf)
endfunction()

# currantvale_program(name SOURCES main.cpp ... LINK LibY ...)
function(currantvale_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()

# currantvale_test(TestX SOURCES ... LINK LibX ... [THREADS]): THREADS marks tests that the thread sanitizer runs too.
function(currantvale_test name)
    cmake_parse_arguments(ARG "THREADS" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE ${ARG_LINK} rapidcheck GTest::gtest GTest::gtest_main Threads::Threads)
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 900 ENVIRONMENT "RC_PARAMS=seed=20261202")
    if(ARG_THREADS)
        set_tests_properties(${name} PROPERTIES LABELS threads)
        add_dependencies(thread-tests ${name})
    endif()
endfunction()

# Adds every folder below this one that has a CMakeLists.txt, in the order of their names.
function(currantvale_add_folders)
    file(GLOB lists CONFIGURE_DEPENDS RELATIVE ${CMAKE_CURRENT_SOURCE_DIR} ${CMAKE_CURRENT_SOURCE_DIR}/*/CMakeLists.txt)
    foreach(list ${lists})
        get_filename_component(folder ${list} DIRECTORY)
        add_subdirectory(${folder})
    endforeach()
endfunction()
