#pragma once

#include <string>
#include <string_view>

namespace citronspar
{

/**
 * Appends to a buffer that may become long. Beyond a few kilobytes it is allocated at the size from which on the allocator maps
 * memory separately: otherwise the shorter allocations that many buffers have outgrown stay resident between each other.
 */
void appendLong(std::string &buffer, std::string_view data);

/** Empties a buffer and returns its memory, which assigning an empty string to it does not do in all standard libraries. */
void releaseLong(std::string &buffer);

}
