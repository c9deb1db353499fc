# Compiler, linker and cache settings shared by every target.
add_compile_options(-Wall -Wextra -Wshadow -Wnon-virtual-dtor -Woverloaded-virtual -Werror)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_SLOPPINESS=pch_defines,time_macros
      CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1 ${CCACHE_PROGRAM})
endif()

find_program(MOLD_PROGRAM mold)
if(MOLD_PROGRAM)
  add_link_options(-fuse-ld=mold)
endif()

if(CLOVERBANK_SANITIZE)
  # GCC gives false maybe-uninitialized warnings for the code that the sanitizers add.
  add_compile_options(-Wno-maybe-uninitialized -fsanitize=address,undefined -fno-sanitize-recover=undefined
                      -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
