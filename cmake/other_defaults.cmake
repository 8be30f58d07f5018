# Builds with the opposite of what this machine's compiler does by default: the sign of plain char, and whether a product
# and a sum are rounded once or twice. The defaults differ between x86-64 and arm64, and a machine may set its own in a
# specs file of GCC, so that the compiler itself is asked.
include(CheckCXXSourceCompiles)
include(CheckCXXSourceRuns)

set(HW_CHAR_PROBE "static_assert(static_cast<char>(-1) < 0, \"\"); int main() {}")
set(HW_ROUNDING_PROBE "
  int main(int count, char**)
  {
    volatile double const tenth = 0.1;
    volatile double const ten = 10.0;
    double const left = tenth;
    double const right = ten;
    double const sum = -1.0 * count;
    return left * right + sum == 0.0 ? 0 : 1; // 0.1 is a little more than a tenth, which one rounding shows
  }")

set(CMAKE_REQUIRED_FLAGS -O2)
check_cxx_source_compiles("${HW_CHAR_PROBE}" HW_CHAR_IS_SIGNED)
check_cxx_source_runs("${HW_ROUNDING_PROBE}" HW_ROUNDS_TWICE)

set(HW_OTHER_FLAGS -fsigned-char -ffp-contract=off)
if(HW_CHAR_IS_SIGNED)
  list(TRANSFORM HW_OTHER_FLAGS REPLACE -fsigned-char -funsigned-char)
endif()
if(HW_ROUNDS_TWICE)
  list(TRANSFORM HW_OTHER_FLAGS REPLACE -ffp-contract=off -ffp-contract=fast)
  if(CMAKE_SYSTEM_PROCESSOR STREQUAL "x86_64")
    list(APPEND HW_OTHER_FLAGS -mfma) # an instruction that rounds once is no part of the plain x86-64
  endif()
endif()
list(JOIN HW_OTHER_FLAGS " " CMAKE_REQUIRED_FLAGS)
set(CMAKE_REQUIRED_FLAGS "-O2 ${CMAKE_REQUIRED_FLAGS}")
check_cxx_source_compiles("${HW_CHAR_PROBE}" HW_OTHER_CHAR_IS_SIGNED)
check_cxx_source_runs("${HW_ROUNDING_PROBE}" HW_OTHER_ROUNDS_TWICE)
unset(CMAKE_REQUIRED_FLAGS)
if(HW_OTHER_CHAR_IS_SIGNED STREQUAL HW_CHAR_IS_SIGNED OR HW_OTHER_ROUNDS_TWICE STREQUAL HW_ROUNDS_TWICE)
  message(FATAL_ERROR "${HW_OTHER_FLAGS} do not change what the compiler does by default")
endif()
message(STATUS "Other defaults: ${HW_OTHER_FLAGS}")
add_compile_options(${HW_OTHER_FLAGS})
