#include "limpethaven/vm_id.h"

#include <ostream>

namespace limpethaven {

std::ostream& operator<<(std::ostream& out, const VmId& vm) {
  return out << vm.address << '@' << vm.incarnation;
}

}  // namespace limpethaven
