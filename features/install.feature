Feature: The project installs on a new machine of either architecture

  Scenario: Every pinned library has a wheel for each supported machine
    Then every pin is recorded with wheels for x86_64 and aarch64 with glibc 2.36

  Scenario Outline: A pin without a usable wheel is reported
    When a library is pinned to 1.0 and the recorded wheel is "<wheel>"
    Then a missing wheel <is or not> reported

    Examples:
      | wheel                                         | is or not |
      | some_library-1.0-py3-none-any.whl             | is not    |
      | some_library-1.0-cp311-cp311-manylinux_2_36_x86_64.whl | is not |
      | some_library-1.0-cp311-cp311-manylinux2014_x86_64.manylinux_2_17_x86_64.whl | is not |
      | some_library-1.0-cp311-cp311-manylinux_2_38_x86_64.whl | is |
      | some_library-1.0-cp311-cp311-manylinux_2_17_aarch64.whl | is |
      | some_library-1.0-cp311-cp311-musllinux_1_2_x86_64.whl | is |
      | some_library-1.1-py3-none-any.whl             | is        |

  Scenario Outline: A failed installation is told in one line that names the library and the reason
    When pip fails with the output "<output>"
    Then the line is "<line>"

    Examples:
      | output | line |
      | Collecting a/ERROR: Ignored the following versions that require a different python version: 4.0.0/ERROR: Could not find a version that satisfies the requirement nothing==1 (from versions: none)/ERROR: No matching distribution found for nothing==1 | nothing==1: Could not find a version that satisfies the requirement nothing==1 (from versions: none) |
      | Building wheels/  error: subprocess-exited-with-error/  CMake Error at CMakeLists.txt: CMake 3.16 or higher is required/  ERROR: Failed building wheel for z3-solver/Failed to build z3-solver | z3-solver: CMake 3.16 or higher is required |
      | something else | something else |
