/// @file
/// Forward declarations of frequently used public types of the library.
#pragma once

namespace limpethaven {

enum class ErrorKind;
enum class EventId;
enum class MemberState;
enum class PoolRole;
enum class Ran;

struct CellSettings;
struct ConfigChange;
struct ConfigHead;
struct Configuration;
struct EndpointSpec;
struct Entity;
struct Error;
struct FileFault;
struct KeySpec;
struct Member;
struct PlacementRequest;
struct PoolSpec;
struct ResumeToken;
struct RouteSpec;
struct TeamSpec;
struct Ticket;
struct VmId;

class CellScheduler;
class Clock;
class ConfigFollower;
class ConfigSource;
class EngineClient;
class EntityTable;
class EndpointHealth;
class FairQueue;
class Membership;
class OrderPlanner;
class PeerTransport;
class RetryBudget;
class ServiceClient;
class ShareLedger;
class StreamGuard;
class StreamObserver;
class TicketBook;
class VmList;

}  // namespace limpethaven
