# Installs the library with a package file, for find_package(peridotfall).
include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

set(PACKAGE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/peridotfall)
install(TARGETS peridotfall EXPORT peridotfallTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT library)
install(DIRECTORY include/peridotfall
  DESTINATION ${CMAKE_INSTALL_INCLUDEDIR} COMPONENT library)
install(EXPORT peridotfallTargets NAMESPACE peridotfall::
  DESTINATION ${PACKAGE_DIR} COMPONENT library)
configure_package_config_file(cmake/peridotfallConfig.cmake.in
  ${CMAKE_CURRENT_BINARY_DIR}/peridotfallConfig.cmake
  INSTALL_DESTINATION ${PACKAGE_DIR})
write_basic_package_version_file(
  ${CMAKE_CURRENT_BINARY_DIR}/peridotfallConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${CMAKE_CURRENT_BINARY_DIR}/peridotfallConfig.cmake
  ${CMAKE_CURRENT_BINARY_DIR}/peridotfallConfigVersion.cmake
  DESTINATION ${PACKAGE_DIR} COMPONENT library)
