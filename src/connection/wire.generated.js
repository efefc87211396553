/*eslint-disable block-scoped-var, id-length, no-control-regex, no-magic-numbers, no-prototype-builtins, no-redeclare, no-shadow, no-var, sort-vars*/
import $protobuf from "protobufjs/minimal.js";

// Common aliases
const $Reader = $protobuf.Reader, $Writer = $protobuf.Writer, $util = $protobuf.util;

// Exported root namespace
const $root = $protobuf.roots["default"] || ($protobuf.roots["default"] = {});

export const marblehall = $root.marblehall = (() => {

    /**
     * Namespace marblehall.
     * @exports marblehall
     * @namespace
     */
    const marblehall = {};

    marblehall.Batch = (function() {

        /**
         * Properties of a Batch.
         * @memberof marblehall
         * @interface IBatch
         * @property {Array.<marblehall.IEnvelope>|null} [messages] Batch messages
         */

        /**
         * Constructs a new Batch.
         * @memberof marblehall
         * @classdesc Represents a Batch.
         * @implements IBatch
         * @constructor
         * @param {marblehall.IBatch=} [properties] Properties to set
         */
        function Batch(properties) {
            this.messages = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Batch messages.
         * @member {Array.<marblehall.IEnvelope>} messages
         * @memberof marblehall.Batch
         * @instance
         */
        Batch.prototype.messages = $util.emptyArray;

        /**
         * Encodes the specified Batch message. Does not implicitly {@link marblehall.Batch.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Batch
         * @static
         * @param {marblehall.IBatch} message Batch message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Batch.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.messages != null && message.messages.length)
                for (let i = 0; i < message.messages.length; ++i)
                    $root.marblehall.Envelope.encode(message.messages[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes a Batch message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Batch
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Batch} Batch
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Batch.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Batch();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        if (!(message.messages && message.messages.length))
                            message.messages = [];
                        message.messages.push($root.marblehall.Envelope.decode(reader, reader.uint32(), undefined, long + 1));
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Batch
         * @function getTypeUrl
         * @memberof marblehall.Batch
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Batch.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Batch";
        };

        return Batch;
    })();

    marblehall.Envelope = (function() {

        /**
         * Properties of an Envelope.
         * @memberof marblehall
         * @interface IEnvelope
         * @property {marblehall.IHello|null} [hello] Envelope hello
         * @property {marblehall.IHeartbeat|null} [heartbeat] Envelope heartbeat
         * @property {marblehall.IStart|null} [start] Envelope start
         * @property {marblehall.IResult|null} [result] Envelope result
         * @property {marblehall.IDemand|null} [demand] Envelope demand
         * @property {marblehall.ICredit|null} [credit] Envelope credit
         * @property {marblehall.IAck|null} [ack] Envelope ack
         * @property {marblehall.ICancel|null} [cancel] Envelope cancel
         * @property {marblehall.ISweep|null} [sweep] Envelope sweep
         * @property {marblehall.ISwept|null} [swept] Envelope swept
         * @property {marblehall.IClaim|null} [claim] Envelope claim
         * @property {marblehall.IClaimed|null} [claimed] Envelope claimed
         * @property {marblehall.IAgentSet|null} [agentSet] Envelope agentSet
         * @property {marblehall.IAnnounce|null} [announce] Envelope announce
         * @property {marblehall.IAttach|null} [attach] Envelope attach
         * @property {marblehall.IAttached|null} [attached] Envelope attached
         * @property {marblehall.ILeaving|null} [leaving] Envelope leaving
         * @property {marblehall.IStateRequest|null} [stateRequest] Envelope stateRequest
         * @property {marblehall.IStateReply|null} [stateReply] Envelope stateReply
         * @property {marblehall.IAsk|null} [ask] Envelope ask
         * @property {marblehall.ITold|null} [told] Envelope told
         * @property {marblehall.IAnnounced|null} [announced] Envelope announced
         */

        /**
         * Constructs a new Envelope.
         * @memberof marblehall
         * @classdesc Represents an Envelope.
         * @implements IEnvelope
         * @constructor
         * @param {marblehall.IEnvelope=} [properties] Properties to set
         */
        function Envelope(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Envelope hello.
         * @member {marblehall.IHello|null|undefined} hello
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.hello = null;

        /**
         * Envelope heartbeat.
         * @member {marblehall.IHeartbeat|null|undefined} heartbeat
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.heartbeat = null;

        /**
         * Envelope start.
         * @member {marblehall.IStart|null|undefined} start
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.start = null;

        /**
         * Envelope result.
         * @member {marblehall.IResult|null|undefined} result
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.result = null;

        /**
         * Envelope demand.
         * @member {marblehall.IDemand|null|undefined} demand
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.demand = null;

        /**
         * Envelope credit.
         * @member {marblehall.ICredit|null|undefined} credit
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.credit = null;

        /**
         * Envelope ack.
         * @member {marblehall.IAck|null|undefined} ack
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.ack = null;

        /**
         * Envelope cancel.
         * @member {marblehall.ICancel|null|undefined} cancel
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.cancel = null;

        /**
         * Envelope sweep.
         * @member {marblehall.ISweep|null|undefined} sweep
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.sweep = null;

        /**
         * Envelope swept.
         * @member {marblehall.ISwept|null|undefined} swept
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.swept = null;

        /**
         * Envelope claim.
         * @member {marblehall.IClaim|null|undefined} claim
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.claim = null;

        /**
         * Envelope claimed.
         * @member {marblehall.IClaimed|null|undefined} claimed
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.claimed = null;

        /**
         * Envelope agentSet.
         * @member {marblehall.IAgentSet|null|undefined} agentSet
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.agentSet = null;

        /**
         * Envelope announce.
         * @member {marblehall.IAnnounce|null|undefined} announce
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.announce = null;

        /**
         * Envelope attach.
         * @member {marblehall.IAttach|null|undefined} attach
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.attach = null;

        /**
         * Envelope attached.
         * @member {marblehall.IAttached|null|undefined} attached
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.attached = null;

        /**
         * Envelope leaving.
         * @member {marblehall.ILeaving|null|undefined} leaving
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.leaving = null;

        /**
         * Envelope stateRequest.
         * @member {marblehall.IStateRequest|null|undefined} stateRequest
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.stateRequest = null;

        /**
         * Envelope stateReply.
         * @member {marblehall.IStateReply|null|undefined} stateReply
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.stateReply = null;

        /**
         * Envelope ask.
         * @member {marblehall.IAsk|null|undefined} ask
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.ask = null;

        /**
         * Envelope told.
         * @member {marblehall.ITold|null|undefined} told
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.told = null;

        /**
         * Envelope announced.
         * @member {marblehall.IAnnounced|null|undefined} announced
         * @memberof marblehall.Envelope
         * @instance
         */
        Envelope.prototype.announced = null;

        // OneOf field names bound to virtual getters and setters
        let $oneOfFields;

        /**
         * Envelope body.
         * @member {"hello"|"heartbeat"|"start"|"result"|"demand"|"credit"|"ack"|"cancel"|"sweep"|"swept"|"claim"|"claimed"|"agentSet"|"announce"|"attach"|"attached"|"leaving"|"stateRequest"|"stateReply"|"ask"|"told"|"announced"|undefined} body
         * @memberof marblehall.Envelope
         * @instance
         */
        Object.defineProperty(Envelope.prototype, "body", {
            get: $util.oneOfGetter($oneOfFields = ["hello", "heartbeat", "start", "result", "demand", "credit", "ack", "cancel", "sweep", "swept", "claim", "claimed", "agentSet", "announce", "attach", "attached", "leaving", "stateRequest", "stateReply", "ask", "told", "announced"]),
            set: $util.oneOfSetter($oneOfFields)
        });

        /**
         * Encodes the specified Envelope message. Does not implicitly {@link marblehall.Envelope.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Envelope
         * @static
         * @param {marblehall.IEnvelope} message Envelope message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Envelope.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.hello != null && Object.hasOwnProperty.call(message, "hello"))
                $root.marblehall.Hello.encode(message.hello, writer.uint32(/* id 1, wireType 2 =*/10).fork(), q + 1).ldelim();
            if (message.heartbeat != null && Object.hasOwnProperty.call(message, "heartbeat"))
                $root.marblehall.Heartbeat.encode(message.heartbeat, writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
            if (message.start != null && Object.hasOwnProperty.call(message, "start"))
                $root.marblehall.Start.encode(message.start, writer.uint32(/* id 3, wireType 2 =*/26).fork(), q + 1).ldelim();
            if (message.result != null && Object.hasOwnProperty.call(message, "result"))
                $root.marblehall.Result.encode(message.result, writer.uint32(/* id 4, wireType 2 =*/34).fork(), q + 1).ldelim();
            if (message.demand != null && Object.hasOwnProperty.call(message, "demand"))
                $root.marblehall.Demand.encode(message.demand, writer.uint32(/* id 5, wireType 2 =*/42).fork(), q + 1).ldelim();
            if (message.credit != null && Object.hasOwnProperty.call(message, "credit"))
                $root.marblehall.Credit.encode(message.credit, writer.uint32(/* id 6, wireType 2 =*/50).fork(), q + 1).ldelim();
            if (message.ack != null && Object.hasOwnProperty.call(message, "ack"))
                $root.marblehall.Ack.encode(message.ack, writer.uint32(/* id 7, wireType 2 =*/58).fork(), q + 1).ldelim();
            if (message.cancel != null && Object.hasOwnProperty.call(message, "cancel"))
                $root.marblehall.Cancel.encode(message.cancel, writer.uint32(/* id 8, wireType 2 =*/66).fork(), q + 1).ldelim();
            if (message.sweep != null && Object.hasOwnProperty.call(message, "sweep"))
                $root.marblehall.Sweep.encode(message.sweep, writer.uint32(/* id 9, wireType 2 =*/74).fork(), q + 1).ldelim();
            if (message.swept != null && Object.hasOwnProperty.call(message, "swept"))
                $root.marblehall.Swept.encode(message.swept, writer.uint32(/* id 10, wireType 2 =*/82).fork(), q + 1).ldelim();
            if (message.claim != null && Object.hasOwnProperty.call(message, "claim"))
                $root.marblehall.Claim.encode(message.claim, writer.uint32(/* id 11, wireType 2 =*/90).fork(), q + 1).ldelim();
            if (message.claimed != null && Object.hasOwnProperty.call(message, "claimed"))
                $root.marblehall.Claimed.encode(message.claimed, writer.uint32(/* id 12, wireType 2 =*/98).fork(), q + 1).ldelim();
            if (message.agentSet != null && Object.hasOwnProperty.call(message, "agentSet"))
                $root.marblehall.AgentSet.encode(message.agentSet, writer.uint32(/* id 13, wireType 2 =*/106).fork(), q + 1).ldelim();
            if (message.announce != null && Object.hasOwnProperty.call(message, "announce"))
                $root.marblehall.Announce.encode(message.announce, writer.uint32(/* id 14, wireType 2 =*/114).fork(), q + 1).ldelim();
            if (message.attach != null && Object.hasOwnProperty.call(message, "attach"))
                $root.marblehall.Attach.encode(message.attach, writer.uint32(/* id 15, wireType 2 =*/122).fork(), q + 1).ldelim();
            if (message.attached != null && Object.hasOwnProperty.call(message, "attached"))
                $root.marblehall.Attached.encode(message.attached, writer.uint32(/* id 16, wireType 2 =*/130).fork(), q + 1).ldelim();
            if (message.leaving != null && Object.hasOwnProperty.call(message, "leaving"))
                $root.marblehall.Leaving.encode(message.leaving, writer.uint32(/* id 17, wireType 2 =*/138).fork(), q + 1).ldelim();
            if (message.stateRequest != null && Object.hasOwnProperty.call(message, "stateRequest"))
                $root.marblehall.StateRequest.encode(message.stateRequest, writer.uint32(/* id 18, wireType 2 =*/146).fork(), q + 1).ldelim();
            if (message.stateReply != null && Object.hasOwnProperty.call(message, "stateReply"))
                $root.marblehall.StateReply.encode(message.stateReply, writer.uint32(/* id 19, wireType 2 =*/154).fork(), q + 1).ldelim();
            if (message.ask != null && Object.hasOwnProperty.call(message, "ask"))
                $root.marblehall.Ask.encode(message.ask, writer.uint32(/* id 20, wireType 2 =*/162).fork(), q + 1).ldelim();
            if (message.told != null && Object.hasOwnProperty.call(message, "told"))
                $root.marblehall.Told.encode(message.told, writer.uint32(/* id 21, wireType 2 =*/170).fork(), q + 1).ldelim();
            if (message.announced != null && Object.hasOwnProperty.call(message, "announced"))
                $root.marblehall.Announced.encode(message.announced, writer.uint32(/* id 22, wireType 2 =*/178).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes an Envelope message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Envelope
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Envelope} Envelope
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Envelope.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Envelope();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.hello = $root.marblehall.Hello.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 2: {
                        message.heartbeat = $root.marblehall.Heartbeat.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 3: {
                        message.start = $root.marblehall.Start.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 4: {
                        message.result = $root.marblehall.Result.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 5: {
                        message.demand = $root.marblehall.Demand.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 6: {
                        message.credit = $root.marblehall.Credit.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 7: {
                        message.ack = $root.marblehall.Ack.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 8: {
                        message.cancel = $root.marblehall.Cancel.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 9: {
                        message.sweep = $root.marblehall.Sweep.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 10: {
                        message.swept = $root.marblehall.Swept.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 11: {
                        message.claim = $root.marblehall.Claim.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 12: {
                        message.claimed = $root.marblehall.Claimed.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 13: {
                        message.agentSet = $root.marblehall.AgentSet.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 14: {
                        message.announce = $root.marblehall.Announce.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 15: {
                        message.attach = $root.marblehall.Attach.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 16: {
                        message.attached = $root.marblehall.Attached.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 17: {
                        message.leaving = $root.marblehall.Leaving.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 18: {
                        message.stateRequest = $root.marblehall.StateRequest.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 19: {
                        message.stateReply = $root.marblehall.StateReply.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 20: {
                        message.ask = $root.marblehall.Ask.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 21: {
                        message.told = $root.marblehall.Told.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 22: {
                        message.announced = $root.marblehall.Announced.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Envelope
         * @function getTypeUrl
         * @memberof marblehall.Envelope
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Envelope.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Envelope";
        };

        return Envelope;
    })();

    marblehall.Epoch = (function() {

        /**
         * Properties of an Epoch.
         * @memberof marblehall
         * @interface IEpoch
         * @property {number|null} [version] Epoch version
         * @property {number|null} [counter] Epoch counter
         */

        /**
         * Constructs a new Epoch.
         * @memberof marblehall
         * @classdesc Represents an Epoch.
         * @implements IEpoch
         * @constructor
         * @param {marblehall.IEpoch=} [properties] Properties to set
         */
        function Epoch(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Epoch version.
         * @member {number} version
         * @memberof marblehall.Epoch
         * @instance
         */
        Epoch.prototype.version = 0;

        /**
         * Epoch counter.
         * @member {number} counter
         * @memberof marblehall.Epoch
         * @instance
         */
        Epoch.prototype.counter = 0;

        /**
         * Encodes the specified Epoch message. Does not implicitly {@link marblehall.Epoch.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Epoch
         * @static
         * @param {marblehall.IEpoch} message Epoch message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Epoch.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.version != null && Object.hasOwnProperty.call(message, "version"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.version);
            if (message.counter != null && Object.hasOwnProperty.call(message, "counter"))
                writer.uint32(/* id 2, wireType 1 =*/17).double(message.counter);
            return writer;
        };

        /**
         * Decodes an Epoch message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Epoch
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Epoch} Epoch
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Epoch.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Epoch();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.version = reader.double();
                        break;
                    }
                case 2: {
                        message.counter = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Epoch
         * @function getTypeUrl
         * @memberof marblehall.Epoch
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Epoch.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Epoch";
        };

        return Epoch;
    })();

    marblehall.Hello = (function() {

        /**
         * Properties of a Hello.
         * @memberof marblehall
         * @interface IHello
         * @property {string|null} [peer] Hello peer
         * @property {string|null} [role] Hello role
         * @property {string|null} [failureDomain] Hello failureDomain
         * @property {number|null} [offset] Hello offset
         * @property {number|null} [slots] Hello slots
         * @property {string|null} [address] Hello address
         * @property {number|null} [queued] Hello queued
         * @property {boolean|null} [leaving] Hello leaving
         */

        /**
         * Constructs a new Hello.
         * @memberof marblehall
         * @classdesc Represents a Hello.
         * @implements IHello
         * @constructor
         * @param {marblehall.IHello=} [properties] Properties to set
         */
        function Hello(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Hello peer.
         * @member {string} peer
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.peer = "";

        /**
         * Hello role.
         * @member {string} role
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.role = "";

        /**
         * Hello failureDomain.
         * @member {string} failureDomain
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.failureDomain = "";

        /**
         * Hello offset.
         * @member {number} offset
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.offset = 0;

        /**
         * Hello slots.
         * @member {number} slots
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.slots = 0;

        /**
         * Hello address.
         * @member {string} address
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.address = "";

        /**
         * Hello queued.
         * @member {number} queued
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.queued = 0;

        /**
         * Hello leaving.
         * @member {boolean} leaving
         * @memberof marblehall.Hello
         * @instance
         */
        Hello.prototype.leaving = false;

        /**
         * Encodes the specified Hello message. Does not implicitly {@link marblehall.Hello.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Hello
         * @static
         * @param {marblehall.IHello} message Hello message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Hello.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.peer != null && Object.hasOwnProperty.call(message, "peer"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.peer);
            if (message.role != null && Object.hasOwnProperty.call(message, "role"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.role);
            if (message.failureDomain != null && Object.hasOwnProperty.call(message, "failureDomain"))
                writer.uint32(/* id 3, wireType 2 =*/26).string(message.failureDomain);
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 4, wireType 1 =*/33).double(message.offset);
            if (message.slots != null && Object.hasOwnProperty.call(message, "slots"))
                writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.slots);
            if (message.address != null && Object.hasOwnProperty.call(message, "address"))
                writer.uint32(/* id 6, wireType 2 =*/50).string(message.address);
            if (message.queued != null && Object.hasOwnProperty.call(message, "queued"))
                writer.uint32(/* id 7, wireType 1 =*/57).double(message.queued);
            if (message.leaving != null && Object.hasOwnProperty.call(message, "leaving"))
                writer.uint32(/* id 8, wireType 0 =*/64).bool(message.leaving);
            return writer;
        };

        /**
         * Decodes a Hello message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Hello
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Hello} Hello
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Hello.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Hello();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.peer = reader.string();
                        break;
                    }
                case 2: {
                        message.role = reader.string();
                        break;
                    }
                case 3: {
                        message.failureDomain = reader.string();
                        break;
                    }
                case 4: {
                        message.offset = reader.double();
                        break;
                    }
                case 5: {
                        message.slots = reader.uint32();
                        break;
                    }
                case 6: {
                        message.address = reader.string();
                        break;
                    }
                case 7: {
                        message.queued = reader.double();
                        break;
                    }
                case 8: {
                        message.leaving = reader.bool();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Hello
         * @function getTypeUrl
         * @memberof marblehall.Hello
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Hello.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Hello";
        };

        return Hello;
    })();

    marblehall.Heartbeat = (function() {

        /**
         * Properties of a Heartbeat.
         * @memberof marblehall
         * @interface IHeartbeat
         * @property {number|null} [offset] Heartbeat offset
         * @property {number|null} [registrarsHeard] Heartbeat registrarsHeard
         * @property {boolean|null} [heardLog] Heartbeat heardLog
         * @property {boolean|null} [reply] Heartbeat reply
         * @property {number|null} [granted] Heartbeat granted
         */

        /**
         * Constructs a new Heartbeat.
         * @memberof marblehall
         * @classdesc Represents a Heartbeat.
         * @implements IHeartbeat
         * @constructor
         * @param {marblehall.IHeartbeat=} [properties] Properties to set
         */
        function Heartbeat(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Heartbeat offset.
         * @member {number} offset
         * @memberof marblehall.Heartbeat
         * @instance
         */
        Heartbeat.prototype.offset = 0;

        /**
         * Heartbeat registrarsHeard.
         * @member {number} registrarsHeard
         * @memberof marblehall.Heartbeat
         * @instance
         */
        Heartbeat.prototype.registrarsHeard = 0;

        /**
         * Heartbeat heardLog.
         * @member {boolean} heardLog
         * @memberof marblehall.Heartbeat
         * @instance
         */
        Heartbeat.prototype.heardLog = false;

        /**
         * Heartbeat reply.
         * @member {boolean} reply
         * @memberof marblehall.Heartbeat
         * @instance
         */
        Heartbeat.prototype.reply = false;

        /**
         * Heartbeat granted.
         * @member {number} granted
         * @memberof marblehall.Heartbeat
         * @instance
         */
        Heartbeat.prototype.granted = 0;

        /**
         * Encodes the specified Heartbeat message. Does not implicitly {@link marblehall.Heartbeat.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Heartbeat
         * @static
         * @param {marblehall.IHeartbeat} message Heartbeat message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Heartbeat.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.offset);
            if (message.registrarsHeard != null && Object.hasOwnProperty.call(message, "registrarsHeard"))
                writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.registrarsHeard);
            if (message.heardLog != null && Object.hasOwnProperty.call(message, "heardLog"))
                writer.uint32(/* id 3, wireType 0 =*/24).bool(message.heardLog);
            if (message.reply != null && Object.hasOwnProperty.call(message, "reply"))
                writer.uint32(/* id 4, wireType 0 =*/32).bool(message.reply);
            if (message.granted != null && Object.hasOwnProperty.call(message, "granted"))
                writer.uint32(/* id 5, wireType 1 =*/41).double(message.granted);
            return writer;
        };

        /**
         * Decodes a Heartbeat message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Heartbeat
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Heartbeat} Heartbeat
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Heartbeat.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Heartbeat();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.offset = reader.double();
                        break;
                    }
                case 2: {
                        message.registrarsHeard = reader.uint32();
                        break;
                    }
                case 3: {
                        message.heardLog = reader.bool();
                        break;
                    }
                case 4: {
                        message.reply = reader.bool();
                        break;
                    }
                case 5: {
                        message.granted = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Heartbeat
         * @function getTypeUrl
         * @memberof marblehall.Heartbeat
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Heartbeat.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Heartbeat";
        };

        return Heartbeat;
    })();

    marblehall.Start = (function() {

        /**
         * Properties of a Start.
         * @memberof marblehall
         * @interface IStart
         * @property {string|null} [job] Start job
         * @property {number|null} [createdAt] Start createdAt
         * @property {marblehall.IEpoch|null} [epoch] Start epoch
         * @property {number|null} [index] Start index
         * @property {number|null} [attempt] Start attempt
         * @property {string|null} [kind] Start kind
         * @property {string|null} [body] Start body
         * @property {number|null} [deadline] Start deadline
         * @property {number|null} [rank] Start rank
         * @property {number|null} [used] Start used
         * @property {number|null} [waiting] Start waiting
         * @property {number|null} [headRank] Start headRank
         * @property {boolean|null} [again] Start again
         */

        /**
         * Constructs a new Start.
         * @memberof marblehall
         * @classdesc Represents a Start.
         * @implements IStart
         * @constructor
         * @param {marblehall.IStart=} [properties] Properties to set
         */
        function Start(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Start job.
         * @member {string} job
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.job = "";

        /**
         * Start createdAt.
         * @member {number} createdAt
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.createdAt = 0;

        /**
         * Start epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.epoch = null;

        /**
         * Start index.
         * @member {number} index
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.index = 0;

        /**
         * Start attempt.
         * @member {number} attempt
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.attempt = 0;

        /**
         * Start kind.
         * @member {string} kind
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.kind = "";

        /**
         * Start body.
         * @member {string} body
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.body = "";

        /**
         * Start deadline.
         * @member {number} deadline
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.deadline = 0;

        /**
         * Start rank.
         * @member {number} rank
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.rank = 0;

        /**
         * Start used.
         * @member {number} used
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.used = 0;

        /**
         * Start waiting.
         * @member {number} waiting
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.waiting = 0;

        /**
         * Start headRank.
         * @member {number} headRank
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.headRank = 0;

        /**
         * Start again.
         * @member {boolean} again
         * @memberof marblehall.Start
         * @instance
         */
        Start.prototype.again = false;

        /**
         * Encodes the specified Start message. Does not implicitly {@link marblehall.Start.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Start
         * @static
         * @param {marblehall.IStart} message Start message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Start.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.createdAt != null && Object.hasOwnProperty.call(message, "createdAt"))
                writer.uint32(/* id 2, wireType 1 =*/17).double(message.createdAt);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 3, wireType 2 =*/26).fork(), q + 1).ldelim();
            if (message.index != null && Object.hasOwnProperty.call(message, "index"))
                writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.index);
            if (message.attempt != null && Object.hasOwnProperty.call(message, "attempt"))
                writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.attempt);
            if (message.kind != null && Object.hasOwnProperty.call(message, "kind"))
                writer.uint32(/* id 6, wireType 2 =*/50).string(message.kind);
            if (message.body != null && Object.hasOwnProperty.call(message, "body"))
                writer.uint32(/* id 7, wireType 2 =*/58).string(message.body);
            if (message.deadline != null && Object.hasOwnProperty.call(message, "deadline"))
                writer.uint32(/* id 8, wireType 1 =*/65).double(message.deadline);
            if (message.rank != null && Object.hasOwnProperty.call(message, "rank"))
                writer.uint32(/* id 9, wireType 1 =*/73).double(message.rank);
            if (message.used != null && Object.hasOwnProperty.call(message, "used"))
                writer.uint32(/* id 10, wireType 1 =*/81).double(message.used);
            if (message.waiting != null && Object.hasOwnProperty.call(message, "waiting"))
                writer.uint32(/* id 11, wireType 0 =*/88).uint32(message.waiting);
            if (message.headRank != null && Object.hasOwnProperty.call(message, "headRank"))
                writer.uint32(/* id 12, wireType 1 =*/97).double(message.headRank);
            if (message.again != null && Object.hasOwnProperty.call(message, "again"))
                writer.uint32(/* id 13, wireType 0 =*/104).bool(message.again);
            return writer;
        };

        /**
         * Decodes a Start message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Start
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Start} Start
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Start.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Start();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.createdAt = reader.double();
                        break;
                    }
                case 3: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 4: {
                        message.index = reader.uint32();
                        break;
                    }
                case 5: {
                        message.attempt = reader.uint32();
                        break;
                    }
                case 6: {
                        message.kind = reader.string();
                        break;
                    }
                case 7: {
                        message.body = reader.string();
                        break;
                    }
                case 8: {
                        message.deadline = reader.double();
                        break;
                    }
                case 9: {
                        message.rank = reader.double();
                        break;
                    }
                case 10: {
                        message.used = reader.double();
                        break;
                    }
                case 11: {
                        message.waiting = reader.uint32();
                        break;
                    }
                case 12: {
                        message.headRank = reader.double();
                        break;
                    }
                case 13: {
                        message.again = reader.bool();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Start
         * @function getTypeUrl
         * @memberof marblehall.Start
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Start.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Start";
        };

        return Start;
    })();

    marblehall.Result = (function() {

        /**
         * Properties of a Result.
         * @memberof marblehall
         * @interface IResult
         * @property {string|null} [job] Result job
         * @property {marblehall.IEpoch|null} [epoch] Result epoch
         * @property {number|null} [index] Result index
         * @property {number|null} [attempt] Result attempt
         * @property {string|null} [state] Result state
         * @property {number|null} [status] Result status
         * @property {string|null} [body] Result body
         * @property {string|null} [reason] Result reason
         * @property {number|null} [granted] Result granted
         * @property {number|null} [workMs] Result workMs
         */

        /**
         * Constructs a new Result.
         * @memberof marblehall
         * @classdesc Represents a Result.
         * @implements IResult
         * @constructor
         * @param {marblehall.IResult=} [properties] Properties to set
         */
        function Result(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Result job.
         * @member {string} job
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.job = "";

        /**
         * Result epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.epoch = null;

        /**
         * Result index.
         * @member {number} index
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.index = 0;

        /**
         * Result attempt.
         * @member {number} attempt
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.attempt = 0;

        /**
         * Result state.
         * @member {string} state
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.state = "";

        /**
         * Result status.
         * @member {number} status
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.status = 0;

        /**
         * Result body.
         * @member {string} body
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.body = "";

        /**
         * Result reason.
         * @member {string} reason
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.reason = "";

        /**
         * Result granted.
         * @member {number} granted
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.granted = 0;

        /**
         * Result workMs.
         * @member {number} workMs
         * @memberof marblehall.Result
         * @instance
         */
        Result.prototype.workMs = 0;

        /**
         * Encodes the specified Result message. Does not implicitly {@link marblehall.Result.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Result
         * @static
         * @param {marblehall.IResult} message Result message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Result.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
            if (message.index != null && Object.hasOwnProperty.call(message, "index"))
                writer.uint32(/* id 3, wireType 0 =*/24).uint32(message.index);
            if (message.attempt != null && Object.hasOwnProperty.call(message, "attempt"))
                writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.attempt);
            if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                writer.uint32(/* id 5, wireType 2 =*/42).string(message.state);
            if (message.status != null && Object.hasOwnProperty.call(message, "status"))
                writer.uint32(/* id 6, wireType 0 =*/48).uint32(message.status);
            if (message.body != null && Object.hasOwnProperty.call(message, "body"))
                writer.uint32(/* id 7, wireType 2 =*/58).string(message.body);
            if (message.reason != null && Object.hasOwnProperty.call(message, "reason"))
                writer.uint32(/* id 8, wireType 2 =*/66).string(message.reason);
            if (message.granted != null && Object.hasOwnProperty.call(message, "granted"))
                writer.uint32(/* id 9, wireType 1 =*/73).double(message.granted);
            if (message.workMs != null && Object.hasOwnProperty.call(message, "workMs"))
                writer.uint32(/* id 10, wireType 1 =*/81).double(message.workMs);
            return writer;
        };

        /**
         * Decodes a Result message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Result
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Result} Result
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Result.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Result();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 3: {
                        message.index = reader.uint32();
                        break;
                    }
                case 4: {
                        message.attempt = reader.uint32();
                        break;
                    }
                case 5: {
                        message.state = reader.string();
                        break;
                    }
                case 6: {
                        message.status = reader.uint32();
                        break;
                    }
                case 7: {
                        message.body = reader.string();
                        break;
                    }
                case 8: {
                        message.reason = reader.string();
                        break;
                    }
                case 9: {
                        message.granted = reader.double();
                        break;
                    }
                case 10: {
                        message.workMs = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Result
         * @function getTypeUrl
         * @memberof marblehall.Result
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Result.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Result";
        };

        return Result;
    })();

    marblehall.Demand = (function() {

        /**
         * Properties of a Demand.
         * @memberof marblehall
         * @interface IDemand
         * @property {number|null} [waiting] Demand waiting
         * @property {number|null} [headRank] Demand headRank
         * @property {number|null} [used] Demand used
         */

        /**
         * Constructs a new Demand.
         * @memberof marblehall
         * @classdesc Represents a Demand.
         * @implements IDemand
         * @constructor
         * @param {marblehall.IDemand=} [properties] Properties to set
         */
        function Demand(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Demand waiting.
         * @member {number} waiting
         * @memberof marblehall.Demand
         * @instance
         */
        Demand.prototype.waiting = 0;

        /**
         * Demand headRank.
         * @member {number} headRank
         * @memberof marblehall.Demand
         * @instance
         */
        Demand.prototype.headRank = 0;

        /**
         * Demand used.
         * @member {number} used
         * @memberof marblehall.Demand
         * @instance
         */
        Demand.prototype.used = 0;

        /**
         * Encodes the specified Demand message. Does not implicitly {@link marblehall.Demand.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Demand
         * @static
         * @param {marblehall.IDemand} message Demand message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Demand.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.waiting != null && Object.hasOwnProperty.call(message, "waiting"))
                writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.waiting);
            if (message.headRank != null && Object.hasOwnProperty.call(message, "headRank"))
                writer.uint32(/* id 2, wireType 1 =*/17).double(message.headRank);
            if (message.used != null && Object.hasOwnProperty.call(message, "used"))
                writer.uint32(/* id 3, wireType 1 =*/25).double(message.used);
            return writer;
        };

        /**
         * Decodes a Demand message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Demand
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Demand} Demand
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Demand.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Demand();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.waiting = reader.uint32();
                        break;
                    }
                case 2: {
                        message.headRank = reader.double();
                        break;
                    }
                case 3: {
                        message.used = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Demand
         * @function getTypeUrl
         * @memberof marblehall.Demand
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Demand.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Demand";
        };

        return Demand;
    })();

    marblehall.Credit = (function() {

        /**
         * Properties of a Credit.
         * @memberof marblehall
         * @interface ICredit
         * @property {number|null} [granted] Credit granted
         */

        /**
         * Constructs a new Credit.
         * @memberof marblehall
         * @classdesc Represents a Credit.
         * @implements ICredit
         * @constructor
         * @param {marblehall.ICredit=} [properties] Properties to set
         */
        function Credit(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Credit granted.
         * @member {number} granted
         * @memberof marblehall.Credit
         * @instance
         */
        Credit.prototype.granted = 0;

        /**
         * Encodes the specified Credit message. Does not implicitly {@link marblehall.Credit.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Credit
         * @static
         * @param {marblehall.ICredit} message Credit message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Credit.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.granted != null && Object.hasOwnProperty.call(message, "granted"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.granted);
            return writer;
        };

        /**
         * Decodes a Credit message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Credit
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Credit} Credit
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Credit.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Credit();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.granted = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Credit
         * @function getTypeUrl
         * @memberof marblehall.Credit
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Credit.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Credit";
        };

        return Credit;
    })();

    marblehall.AckedJob = (function() {

        /**
         * Properties of an AckedJob.
         * @memberof marblehall
         * @interface IAckedJob
         * @property {string|null} [job] AckedJob job
         * @property {Array.<number>|null} [indexes] AckedJob indexes
         */

        /**
         * Constructs a new AckedJob.
         * @memberof marblehall
         * @classdesc Represents an AckedJob.
         * @implements IAckedJob
         * @constructor
         * @param {marblehall.IAckedJob=} [properties] Properties to set
         */
        function AckedJob(properties) {
            this.indexes = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * AckedJob job.
         * @member {string} job
         * @memberof marblehall.AckedJob
         * @instance
         */
        AckedJob.prototype.job = "";

        /**
         * AckedJob indexes.
         * @member {Array.<number>} indexes
         * @memberof marblehall.AckedJob
         * @instance
         */
        AckedJob.prototype.indexes = $util.emptyArray;

        /**
         * Encodes the specified AckedJob message. Does not implicitly {@link marblehall.AckedJob.verify|verify} messages.
         * @function encode
         * @memberof marblehall.AckedJob
         * @static
         * @param {marblehall.IAckedJob} message AckedJob message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        AckedJob.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.indexes != null && message.indexes.length) {
                writer.uint32(/* id 2, wireType 2 =*/18).fork();
                for (let i = 0; i < message.indexes.length; ++i)
                    writer.uint32(message.indexes[i]);
                writer.ldelim();
            }
            return writer;
        };

        /**
         * Decodes an AckedJob message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.AckedJob
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.AckedJob} AckedJob
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        AckedJob.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.AckedJob();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        if (!(message.indexes && message.indexes.length))
                            message.indexes = [];
                        if ((tag & 7) === 2) {
                            let end2 = reader.uint32() + reader.pos;
                            if (end2 > reader.len)
                                throw RangeError("index out of range");
                            reader.len = end2;
                            while (reader.pos < end2)
                                message.indexes.push(reader.uint32());
                            if (reader.pos !== end2)
                                throw RangeError("index out of range");
                            reader.len = end;
                        } else
                            message.indexes.push(reader.uint32());
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for AckedJob
         * @function getTypeUrl
         * @memberof marblehall.AckedJob
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        AckedJob.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.AckedJob";
        };

        return AckedJob;
    })();

    marblehall.Ack = (function() {

        /**
         * Properties of an Ack.
         * @memberof marblehall
         * @interface IAck
         * @property {Array.<marblehall.IAckedJob>|null} [jobs] Ack jobs
         */

        /**
         * Constructs a new Ack.
         * @memberof marblehall
         * @classdesc Represents an Ack.
         * @implements IAck
         * @constructor
         * @param {marblehall.IAck=} [properties] Properties to set
         */
        function Ack(properties) {
            this.jobs = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Ack jobs.
         * @member {Array.<marblehall.IAckedJob>} jobs
         * @memberof marblehall.Ack
         * @instance
         */
        Ack.prototype.jobs = $util.emptyArray;

        /**
         * Encodes the specified Ack message. Does not implicitly {@link marblehall.Ack.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Ack
         * @static
         * @param {marblehall.IAck} message Ack message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Ack.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.jobs != null && message.jobs.length)
                for (let i = 0; i < message.jobs.length; ++i)
                    $root.marblehall.AckedJob.encode(message.jobs[i], writer.uint32(/* id 1, wireType 2 =*/10).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes an Ack message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Ack
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Ack} Ack
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Ack.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Ack();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        if (!(message.jobs && message.jobs.length))
                            message.jobs = [];
                        message.jobs.push($root.marblehall.AckedJob.decode(reader, reader.uint32(), undefined, long + 1));
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Ack
         * @function getTypeUrl
         * @memberof marblehall.Ack
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Ack.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Ack";
        };

        return Ack;
    })();

    marblehall.Cancel = (function() {

        /**
         * Properties of a Cancel.
         * @memberof marblehall
         * @interface ICancel
         * @property {string|null} [job] Cancel job
         * @property {marblehall.IEpoch|null} [epoch] Cancel epoch
         */

        /**
         * Constructs a new Cancel.
         * @memberof marblehall
         * @classdesc Represents a Cancel.
         * @implements ICancel
         * @constructor
         * @param {marblehall.ICancel=} [properties] Properties to set
         */
        function Cancel(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Cancel job.
         * @member {string} job
         * @memberof marblehall.Cancel
         * @instance
         */
        Cancel.prototype.job = "";

        /**
         * Cancel epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Cancel
         * @instance
         */
        Cancel.prototype.epoch = null;

        /**
         * Encodes the specified Cancel message. Does not implicitly {@link marblehall.Cancel.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Cancel
         * @static
         * @param {marblehall.ICancel} message Cancel message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Cancel.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes a Cancel message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Cancel
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Cancel} Cancel
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Cancel.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Cancel();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Cancel
         * @function getTypeUrl
         * @memberof marblehall.Cancel
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Cancel.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Cancel";
        };

        return Cancel;
    })();

    marblehall.Sweep = (function() {

        /**
         * Properties of a Sweep.
         * @memberof marblehall
         * @interface ISweep
         * @property {string|null} [job] Sweep job
         * @property {number|null} [createdAt] Sweep createdAt
         * @property {marblehall.IEpoch|null} [epoch] Sweep epoch
         */

        /**
         * Constructs a new Sweep.
         * @memberof marblehall
         * @classdesc Represents a Sweep.
         * @implements ISweep
         * @constructor
         * @param {marblehall.ISweep=} [properties] Properties to set
         */
        function Sweep(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Sweep job.
         * @member {string} job
         * @memberof marblehall.Sweep
         * @instance
         */
        Sweep.prototype.job = "";

        /**
         * Sweep createdAt.
         * @member {number} createdAt
         * @memberof marblehall.Sweep
         * @instance
         */
        Sweep.prototype.createdAt = 0;

        /**
         * Sweep epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Sweep
         * @instance
         */
        Sweep.prototype.epoch = null;

        /**
         * Encodes the specified Sweep message. Does not implicitly {@link marblehall.Sweep.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Sweep
         * @static
         * @param {marblehall.ISweep} message Sweep message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Sweep.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.createdAt != null && Object.hasOwnProperty.call(message, "createdAt"))
                writer.uint32(/* id 2, wireType 1 =*/17).double(message.createdAt);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 3, wireType 2 =*/26).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes a Sweep message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Sweep
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Sweep} Sweep
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Sweep.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Sweep();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.createdAt = reader.double();
                        break;
                    }
                case 3: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Sweep
         * @function getTypeUrl
         * @memberof marblehall.Sweep
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Sweep.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Sweep";
        };

        return Sweep;
    })();

    marblehall.SweptTask = (function() {

        /**
         * Properties of a SweptTask.
         * @memberof marblehall
         * @interface ISweptTask
         * @property {number|null} [index] SweptTask index
         * @property {number|null} [attempt] SweptTask attempt
         * @property {string|null} [state] SweptTask state
         * @property {number|null} [status] SweptTask status
         * @property {string|null} [body] SweptTask body
         * @property {boolean|null} [hasBody] SweptTask hasBody
         */

        /**
         * Constructs a new SweptTask.
         * @memberof marblehall
         * @classdesc Represents a SweptTask.
         * @implements ISweptTask
         * @constructor
         * @param {marblehall.ISweptTask=} [properties] Properties to set
         */
        function SweptTask(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * SweptTask index.
         * @member {number} index
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.index = 0;

        /**
         * SweptTask attempt.
         * @member {number} attempt
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.attempt = 0;

        /**
         * SweptTask state.
         * @member {string} state
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.state = "";

        /**
         * SweptTask status.
         * @member {number} status
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.status = 0;

        /**
         * SweptTask body.
         * @member {string} body
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.body = "";

        /**
         * SweptTask hasBody.
         * @member {boolean} hasBody
         * @memberof marblehall.SweptTask
         * @instance
         */
        SweptTask.prototype.hasBody = false;

        /**
         * Encodes the specified SweptTask message. Does not implicitly {@link marblehall.SweptTask.verify|verify} messages.
         * @function encode
         * @memberof marblehall.SweptTask
         * @static
         * @param {marblehall.ISweptTask} message SweptTask message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        SweptTask.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.index != null && Object.hasOwnProperty.call(message, "index"))
                writer.uint32(/* id 1, wireType 0 =*/8).uint32(message.index);
            if (message.attempt != null && Object.hasOwnProperty.call(message, "attempt"))
                writer.uint32(/* id 2, wireType 0 =*/16).uint32(message.attempt);
            if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                writer.uint32(/* id 3, wireType 2 =*/26).string(message.state);
            if (message.status != null && Object.hasOwnProperty.call(message, "status"))
                writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.status);
            if (message.body != null && Object.hasOwnProperty.call(message, "body"))
                writer.uint32(/* id 5, wireType 2 =*/42).string(message.body);
            if (message.hasBody != null && Object.hasOwnProperty.call(message, "hasBody"))
                writer.uint32(/* id 6, wireType 0 =*/48).bool(message.hasBody);
            return writer;
        };

        /**
         * Decodes a SweptTask message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.SweptTask
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.SweptTask} SweptTask
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        SweptTask.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.SweptTask();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.index = reader.uint32();
                        break;
                    }
                case 2: {
                        message.attempt = reader.uint32();
                        break;
                    }
                case 3: {
                        message.state = reader.string();
                        break;
                    }
                case 4: {
                        message.status = reader.uint32();
                        break;
                    }
                case 5: {
                        message.body = reader.string();
                        break;
                    }
                case 6: {
                        message.hasBody = reader.bool();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for SweptTask
         * @function getTypeUrl
         * @memberof marblehall.SweptTask
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        SweptTask.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.SweptTask";
        };

        return SweptTask;
    })();

    marblehall.Swept = (function() {

        /**
         * Properties of a Swept.
         * @memberof marblehall
         * @interface ISwept
         * @property {string|null} [job] Swept job
         * @property {marblehall.IEpoch|null} [epoch] Swept epoch
         * @property {boolean|null} [fenced] Swept fenced
         * @property {Array.<marblehall.ISweptTask>|null} [tasks] Swept tasks
         */

        /**
         * Constructs a new Swept.
         * @memberof marblehall
         * @classdesc Represents a Swept.
         * @implements ISwept
         * @constructor
         * @param {marblehall.ISwept=} [properties] Properties to set
         */
        function Swept(properties) {
            this.tasks = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Swept job.
         * @member {string} job
         * @memberof marblehall.Swept
         * @instance
         */
        Swept.prototype.job = "";

        /**
         * Swept epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Swept
         * @instance
         */
        Swept.prototype.epoch = null;

        /**
         * Swept fenced.
         * @member {boolean} fenced
         * @memberof marblehall.Swept
         * @instance
         */
        Swept.prototype.fenced = false;

        /**
         * Swept tasks.
         * @member {Array.<marblehall.ISweptTask>} tasks
         * @memberof marblehall.Swept
         * @instance
         */
        Swept.prototype.tasks = $util.emptyArray;

        /**
         * Encodes the specified Swept message. Does not implicitly {@link marblehall.Swept.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Swept
         * @static
         * @param {marblehall.ISwept} message Swept message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Swept.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
            if (message.fenced != null && Object.hasOwnProperty.call(message, "fenced"))
                writer.uint32(/* id 3, wireType 0 =*/24).bool(message.fenced);
            if (message.tasks != null && message.tasks.length)
                for (let i = 0; i < message.tasks.length; ++i)
                    $root.marblehall.SweptTask.encode(message.tasks[i], writer.uint32(/* id 4, wireType 2 =*/34).fork(), q + 1).ldelim();
            return writer;
        };

        /**
         * Decodes a Swept message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Swept
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Swept} Swept
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Swept.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Swept();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 3: {
                        message.fenced = reader.bool();
                        break;
                    }
                case 4: {
                        if (!(message.tasks && message.tasks.length))
                            message.tasks = [];
                        message.tasks.push($root.marblehall.SweptTask.decode(reader, reader.uint32(), undefined, long + 1));
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Swept
         * @function getTypeUrl
         * @memberof marblehall.Swept
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Swept.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Swept";
        };

        return Swept;
    })();

    marblehall.Claim = (function() {

        /**
         * Properties of a Claim.
         * @memberof marblehall
         * @interface IClaim
         * @property {number|null} [id] Claim id
         * @property {string|null} [job] Claim job
         * @property {number|null} [createdAt] Claim createdAt
         * @property {string|null} [digest] Claim digest
         * @property {number|null} [setId] Claim setId
         * @property {string|null} [mode] Claim mode
         * @property {marblehall.IEpoch|null} [expected] Claim expected
         * @property {number|null} [offset] Claim offset
         */

        /**
         * Constructs a new Claim.
         * @memberof marblehall
         * @classdesc Represents a Claim.
         * @implements IClaim
         * @constructor
         * @param {marblehall.IClaim=} [properties] Properties to set
         */
        function Claim(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Claim id.
         * @member {number} id
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.id = 0;

        /**
         * Claim job.
         * @member {string} job
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.job = "";

        /**
         * Claim createdAt.
         * @member {number} createdAt
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.createdAt = 0;

        /**
         * Claim digest.
         * @member {string} digest
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.digest = "";

        /**
         * Claim setId.
         * @member {number} setId
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.setId = 0;

        /**
         * Claim mode.
         * @member {string} mode
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.mode = "";

        /**
         * Claim expected.
         * @member {marblehall.IEpoch|null|undefined} expected
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.expected = null;

        /**
         * Claim offset.
         * @member {number} offset
         * @memberof marblehall.Claim
         * @instance
         */
        Claim.prototype.offset = 0;

        /**
         * Encodes the specified Claim message. Does not implicitly {@link marblehall.Claim.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Claim
         * @static
         * @param {marblehall.IClaim} message Claim message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Claim.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.job);
            if (message.createdAt != null && Object.hasOwnProperty.call(message, "createdAt"))
                writer.uint32(/* id 3, wireType 1 =*/25).double(message.createdAt);
            if (message.digest != null && Object.hasOwnProperty.call(message, "digest"))
                writer.uint32(/* id 4, wireType 2 =*/34).string(message.digest);
            if (message.setId != null && Object.hasOwnProperty.call(message, "setId"))
                writer.uint32(/* id 5, wireType 1 =*/41).double(message.setId);
            if (message.mode != null && Object.hasOwnProperty.call(message, "mode"))
                writer.uint32(/* id 6, wireType 2 =*/50).string(message.mode);
            if (message.expected != null && Object.hasOwnProperty.call(message, "expected"))
                $root.marblehall.Epoch.encode(message.expected, writer.uint32(/* id 7, wireType 2 =*/58).fork(), q + 1).ldelim();
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 8, wireType 1 =*/65).double(message.offset);
            return writer;
        };

        /**
         * Decodes a Claim message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Claim
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Claim} Claim
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Claim.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Claim();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.job = reader.string();
                        break;
                    }
                case 3: {
                        message.createdAt = reader.double();
                        break;
                    }
                case 4: {
                        message.digest = reader.string();
                        break;
                    }
                case 5: {
                        message.setId = reader.double();
                        break;
                    }
                case 6: {
                        message.mode = reader.string();
                        break;
                    }
                case 7: {
                        message.expected = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 8: {
                        message.offset = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Claim
         * @function getTypeUrl
         * @memberof marblehall.Claim
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Claim.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Claim";
        };

        return Claim;
    })();

    marblehall.Claimed = (function() {

        /**
         * Properties of a Claimed.
         * @memberof marblehall
         * @interface IClaimed
         * @property {number|null} [id] Claimed id
         * @property {string|null} [job] Claimed job
         * @property {string|null} [outcome] Claimed outcome
         * @property {marblehall.IEpoch|null} [epoch] Claimed epoch
         * @property {string|null} [owner] Claimed owner
         * @property {Array.<string>|null} [members] Claimed members
         * @property {string|null} [digest] Claimed digest
         */

        /**
         * Constructs a new Claimed.
         * @memberof marblehall
         * @classdesc Represents a Claimed.
         * @implements IClaimed
         * @constructor
         * @param {marblehall.IClaimed=} [properties] Properties to set
         */
        function Claimed(properties) {
            this.members = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Claimed id.
         * @member {number} id
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.id = 0;

        /**
         * Claimed job.
         * @member {string} job
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.job = "";

        /**
         * Claimed outcome.
         * @member {string} outcome
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.outcome = "";

        /**
         * Claimed epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.epoch = null;

        /**
         * Claimed owner.
         * @member {string} owner
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.owner = "";

        /**
         * Claimed members.
         * @member {Array.<string>} members
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.members = $util.emptyArray;

        /**
         * Claimed digest.
         * @member {string} digest
         * @memberof marblehall.Claimed
         * @instance
         */
        Claimed.prototype.digest = "";

        /**
         * Encodes the specified Claimed message. Does not implicitly {@link marblehall.Claimed.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Claimed
         * @static
         * @param {marblehall.IClaimed} message Claimed message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Claimed.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.job);
            if (message.outcome != null && Object.hasOwnProperty.call(message, "outcome"))
                writer.uint32(/* id 3, wireType 2 =*/26).string(message.outcome);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 4, wireType 2 =*/34).fork(), q + 1).ldelim();
            if (message.owner != null && Object.hasOwnProperty.call(message, "owner"))
                writer.uint32(/* id 5, wireType 2 =*/42).string(message.owner);
            if (message.members != null && message.members.length)
                for (let i = 0; i < message.members.length; ++i)
                    writer.uint32(/* id 6, wireType 2 =*/50).string(message.members[i]);
            if (message.digest != null && Object.hasOwnProperty.call(message, "digest"))
                writer.uint32(/* id 7, wireType 2 =*/58).string(message.digest);
            return writer;
        };

        /**
         * Decodes a Claimed message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Claimed
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Claimed} Claimed
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Claimed.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Claimed();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.job = reader.string();
                        break;
                    }
                case 3: {
                        message.outcome = reader.string();
                        break;
                    }
                case 4: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 5: {
                        message.owner = reader.string();
                        break;
                    }
                case 6: {
                        if (!(message.members && message.members.length))
                            message.members = [];
                        message.members.push(reader.string());
                        break;
                    }
                case 7: {
                        message.digest = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Claimed
         * @function getTypeUrl
         * @memberof marblehall.Claimed
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Claimed.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Claimed";
        };

        return Claimed;
    })();

    marblehall.AgentSet = (function() {

        /**
         * Properties of an AgentSet.
         * @memberof marblehall
         * @interface IAgentSet
         * @property {number|null} [setId] AgentSet setId
         * @property {Array.<string>|null} [members] AgentSet members
         */

        /**
         * Constructs a new AgentSet.
         * @memberof marblehall
         * @classdesc Represents an AgentSet.
         * @implements IAgentSet
         * @constructor
         * @param {marblehall.IAgentSet=} [properties] Properties to set
         */
        function AgentSet(properties) {
            this.members = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * AgentSet setId.
         * @member {number} setId
         * @memberof marblehall.AgentSet
         * @instance
         */
        AgentSet.prototype.setId = 0;

        /**
         * AgentSet members.
         * @member {Array.<string>} members
         * @memberof marblehall.AgentSet
         * @instance
         */
        AgentSet.prototype.members = $util.emptyArray;

        /**
         * Encodes the specified AgentSet message. Does not implicitly {@link marblehall.AgentSet.verify|verify} messages.
         * @function encode
         * @memberof marblehall.AgentSet
         * @static
         * @param {marblehall.IAgentSet} message AgentSet message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        AgentSet.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.setId != null && Object.hasOwnProperty.call(message, "setId"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.setId);
            if (message.members != null && message.members.length)
                for (let i = 0; i < message.members.length; ++i)
                    writer.uint32(/* id 2, wireType 2 =*/18).string(message.members[i]);
            return writer;
        };

        /**
         * Decodes an AgentSet message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.AgentSet
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.AgentSet} AgentSet
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        AgentSet.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.AgentSet();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.setId = reader.double();
                        break;
                    }
                case 2: {
                        if (!(message.members && message.members.length))
                            message.members = [];
                        message.members.push(reader.string());
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for AgentSet
         * @function getTypeUrl
         * @memberof marblehall.AgentSet
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        AgentSet.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.AgentSet";
        };

        return AgentSet;
    })();

    marblehall.OwnedClaim = (function() {

        /**
         * Properties of an OwnedClaim.
         * @memberof marblehall
         * @interface IOwnedClaim
         * @property {string|null} [job] OwnedClaim job
         * @property {number|null} [createdAt] OwnedClaim createdAt
         * @property {marblehall.IEpoch|null} [epoch] OwnedClaim epoch
         * @property {string|null} [digest] OwnedClaim digest
         * @property {number|null} [setId] OwnedClaim setId
         * @property {Array.<string>|null} [members] OwnedClaim members
         */

        /**
         * Constructs a new OwnedClaim.
         * @memberof marblehall
         * @classdesc Represents an OwnedClaim.
         * @implements IOwnedClaim
         * @constructor
         * @param {marblehall.IOwnedClaim=} [properties] Properties to set
         */
        function OwnedClaim(properties) {
            this.members = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * OwnedClaim job.
         * @member {string} job
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.job = "";

        /**
         * OwnedClaim createdAt.
         * @member {number} createdAt
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.createdAt = 0;

        /**
         * OwnedClaim epoch.
         * @member {marblehall.IEpoch|null|undefined} epoch
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.epoch = null;

        /**
         * OwnedClaim digest.
         * @member {string} digest
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.digest = "";

        /**
         * OwnedClaim setId.
         * @member {number} setId
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.setId = 0;

        /**
         * OwnedClaim members.
         * @member {Array.<string>} members
         * @memberof marblehall.OwnedClaim
         * @instance
         */
        OwnedClaim.prototype.members = $util.emptyArray;

        /**
         * Encodes the specified OwnedClaim message. Does not implicitly {@link marblehall.OwnedClaim.verify|verify} messages.
         * @function encode
         * @memberof marblehall.OwnedClaim
         * @static
         * @param {marblehall.IOwnedClaim} message OwnedClaim message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        OwnedClaim.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 1, wireType 2 =*/10).string(message.job);
            if (message.createdAt != null && Object.hasOwnProperty.call(message, "createdAt"))
                writer.uint32(/* id 2, wireType 1 =*/17).double(message.createdAt);
            if (message.epoch != null && Object.hasOwnProperty.call(message, "epoch"))
                $root.marblehall.Epoch.encode(message.epoch, writer.uint32(/* id 3, wireType 2 =*/26).fork(), q + 1).ldelim();
            if (message.digest != null && Object.hasOwnProperty.call(message, "digest"))
                writer.uint32(/* id 4, wireType 2 =*/34).string(message.digest);
            if (message.setId != null && Object.hasOwnProperty.call(message, "setId"))
                writer.uint32(/* id 5, wireType 1 =*/41).double(message.setId);
            if (message.members != null && message.members.length)
                for (let i = 0; i < message.members.length; ++i)
                    writer.uint32(/* id 6, wireType 2 =*/50).string(message.members[i]);
            return writer;
        };

        /**
         * Decodes an OwnedClaim message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.OwnedClaim
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.OwnedClaim} OwnedClaim
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        OwnedClaim.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.OwnedClaim();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.job = reader.string();
                        break;
                    }
                case 2: {
                        message.createdAt = reader.double();
                        break;
                    }
                case 3: {
                        message.epoch = $root.marblehall.Epoch.decode(reader, reader.uint32(), undefined, long + 1);
                        break;
                    }
                case 4: {
                        message.digest = reader.string();
                        break;
                    }
                case 5: {
                        message.setId = reader.double();
                        break;
                    }
                case 6: {
                        if (!(message.members && message.members.length))
                            message.members = [];
                        message.members.push(reader.string());
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for OwnedClaim
         * @function getTypeUrl
         * @memberof marblehall.OwnedClaim
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        OwnedClaim.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.OwnedClaim";
        };

        return OwnedClaim;
    })();

    marblehall.Announce = (function() {

        /**
         * Properties of an Announce.
         * @memberof marblehall
         * @interface IAnnounce
         * @property {number|null} [offset] Announce offset
         * @property {Array.<marblehall.IOwnedClaim>|null} [claims] Announce claims
         * @property {number|null} [id] Announce id
         * @property {number|null} [part] Announce part
         * @property {number|null} [parts] Announce parts
         */

        /**
         * Constructs a new Announce.
         * @memberof marblehall
         * @classdesc Represents an Announce.
         * @implements IAnnounce
         * @constructor
         * @param {marblehall.IAnnounce=} [properties] Properties to set
         */
        function Announce(properties) {
            this.claims = [];
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Announce offset.
         * @member {number} offset
         * @memberof marblehall.Announce
         * @instance
         */
        Announce.prototype.offset = 0;

        /**
         * Announce claims.
         * @member {Array.<marblehall.IOwnedClaim>} claims
         * @memberof marblehall.Announce
         * @instance
         */
        Announce.prototype.claims = $util.emptyArray;

        /**
         * Announce id.
         * @member {number} id
         * @memberof marblehall.Announce
         * @instance
         */
        Announce.prototype.id = 0;

        /**
         * Announce part.
         * @member {number} part
         * @memberof marblehall.Announce
         * @instance
         */
        Announce.prototype.part = 0;

        /**
         * Announce parts.
         * @member {number} parts
         * @memberof marblehall.Announce
         * @instance
         */
        Announce.prototype.parts = 0;

        /**
         * Encodes the specified Announce message. Does not implicitly {@link marblehall.Announce.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Announce
         * @static
         * @param {marblehall.IAnnounce} message Announce message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Announce.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.offset);
            if (message.claims != null && message.claims.length)
                for (let i = 0; i < message.claims.length; ++i)
                    $root.marblehall.OwnedClaim.encode(message.claims[i], writer.uint32(/* id 2, wireType 2 =*/18).fork(), q + 1).ldelim();
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 3, wireType 1 =*/25).double(message.id);
            if (message.part != null && Object.hasOwnProperty.call(message, "part"))
                writer.uint32(/* id 4, wireType 0 =*/32).uint32(message.part);
            if (message.parts != null && Object.hasOwnProperty.call(message, "parts"))
                writer.uint32(/* id 5, wireType 0 =*/40).uint32(message.parts);
            return writer;
        };

        /**
         * Decodes an Announce message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Announce
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Announce} Announce
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Announce.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Announce();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.offset = reader.double();
                        break;
                    }
                case 2: {
                        if (!(message.claims && message.claims.length))
                            message.claims = [];
                        message.claims.push($root.marblehall.OwnedClaim.decode(reader, reader.uint32(), undefined, long + 1));
                        break;
                    }
                case 3: {
                        message.id = reader.double();
                        break;
                    }
                case 4: {
                        message.part = reader.uint32();
                        break;
                    }
                case 5: {
                        message.parts = reader.uint32();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Announce
         * @function getTypeUrl
         * @memberof marblehall.Announce
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Announce.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Announce";
        };

        return Announce;
    })();

    marblehall.Attach = (function() {

        /**
         * Properties of an Attach.
         * @memberof marblehall
         * @interface IAttach
         * @property {number|null} [id] Attach id
         * @property {string|null} [job] Attach job
         * @property {string|null} [digest] Attach digest
         */

        /**
         * Constructs a new Attach.
         * @memberof marblehall
         * @classdesc Represents an Attach.
         * @implements IAttach
         * @constructor
         * @param {marblehall.IAttach=} [properties] Properties to set
         */
        function Attach(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Attach id.
         * @member {number} id
         * @memberof marblehall.Attach
         * @instance
         */
        Attach.prototype.id = 0;

        /**
         * Attach job.
         * @member {string} job
         * @memberof marblehall.Attach
         * @instance
         */
        Attach.prototype.job = "";

        /**
         * Attach digest.
         * @member {string} digest
         * @memberof marblehall.Attach
         * @instance
         */
        Attach.prototype.digest = "";

        /**
         * Encodes the specified Attach message. Does not implicitly {@link marblehall.Attach.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Attach
         * @static
         * @param {marblehall.IAttach} message Attach message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Attach.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.job);
            if (message.digest != null && Object.hasOwnProperty.call(message, "digest"))
                writer.uint32(/* id 3, wireType 2 =*/26).string(message.digest);
            return writer;
        };

        /**
         * Decodes an Attach message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Attach
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Attach} Attach
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Attach.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Attach();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.job = reader.string();
                        break;
                    }
                case 3: {
                        message.digest = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Attach
         * @function getTypeUrl
         * @memberof marblehall.Attach
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Attach.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Attach";
        };

        return Attach;
    })();

    marblehall.Attached = (function() {

        /**
         * Properties of an Attached.
         * @memberof marblehall
         * @interface IAttached
         * @property {number|null} [id] Attached id
         * @property {string|null} [job] Attached job
         * @property {string|null} [state] Attached state
         * @property {string|null} [answer] Attached answer
         */

        /**
         * Constructs a new Attached.
         * @memberof marblehall
         * @classdesc Represents an Attached.
         * @implements IAttached
         * @constructor
         * @param {marblehall.IAttached=} [properties] Properties to set
         */
        function Attached(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Attached id.
         * @member {number} id
         * @memberof marblehall.Attached
         * @instance
         */
        Attached.prototype.id = 0;

        /**
         * Attached job.
         * @member {string} job
         * @memberof marblehall.Attached
         * @instance
         */
        Attached.prototype.job = "";

        /**
         * Attached state.
         * @member {string} state
         * @memberof marblehall.Attached
         * @instance
         */
        Attached.prototype.state = "";

        /**
         * Attached answer.
         * @member {string} answer
         * @memberof marblehall.Attached
         * @instance
         */
        Attached.prototype.answer = "";

        /**
         * Encodes the specified Attached message. Does not implicitly {@link marblehall.Attached.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Attached
         * @static
         * @param {marblehall.IAttached} message Attached message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Attached.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.job != null && Object.hasOwnProperty.call(message, "job"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.job);
            if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                writer.uint32(/* id 3, wireType 2 =*/26).string(message.state);
            if (message.answer != null && Object.hasOwnProperty.call(message, "answer"))
                writer.uint32(/* id 4, wireType 2 =*/34).string(message.answer);
            return writer;
        };

        /**
         * Decodes an Attached message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Attached
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Attached} Attached
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Attached.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Attached();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.job = reader.string();
                        break;
                    }
                case 3: {
                        message.state = reader.string();
                        break;
                    }
                case 4: {
                        message.answer = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Attached
         * @function getTypeUrl
         * @memberof marblehall.Attached
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Attached.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Attached";
        };

        return Attached;
    })();

    marblehall.Leaving = (function() {

        /**
         * Properties of a Leaving.
         * @memberof marblehall
         * @interface ILeaving
         * @property {boolean|null} [done] Leaving done
         */

        /**
         * Constructs a new Leaving.
         * @memberof marblehall
         * @classdesc Represents a Leaving.
         * @implements ILeaving
         * @constructor
         * @param {marblehall.ILeaving=} [properties] Properties to set
         */
        function Leaving(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Leaving done.
         * @member {boolean} done
         * @memberof marblehall.Leaving
         * @instance
         */
        Leaving.prototype.done = false;

        /**
         * Encodes the specified Leaving message. Does not implicitly {@link marblehall.Leaving.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Leaving
         * @static
         * @param {marblehall.ILeaving} message Leaving message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Leaving.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.done != null && Object.hasOwnProperty.call(message, "done"))
                writer.uint32(/* id 1, wireType 0 =*/8).bool(message.done);
            return writer;
        };

        /**
         * Decodes a Leaving message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Leaving
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Leaving} Leaving
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Leaving.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Leaving();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.done = reader.bool();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Leaving
         * @function getTypeUrl
         * @memberof marblehall.Leaving
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Leaving.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Leaving";
        };

        return Leaving;
    })();

    marblehall.StateRequest = (function() {

        /**
         * Properties of a StateRequest.
         * @memberof marblehall
         * @interface IStateRequest
         * @property {number|null} [offset] StateRequest offset
         */

        /**
         * Constructs a new StateRequest.
         * @memberof marblehall
         * @classdesc Represents a StateRequest.
         * @implements IStateRequest
         * @constructor
         * @param {marblehall.IStateRequest=} [properties] Properties to set
         */
        function StateRequest(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * StateRequest offset.
         * @member {number} offset
         * @memberof marblehall.StateRequest
         * @instance
         */
        StateRequest.prototype.offset = 0;

        /**
         * Encodes the specified StateRequest message. Does not implicitly {@link marblehall.StateRequest.verify|verify} messages.
         * @function encode
         * @memberof marblehall.StateRequest
         * @static
         * @param {marblehall.IStateRequest} message StateRequest message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        StateRequest.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.offset);
            return writer;
        };

        /**
         * Decodes a StateRequest message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.StateRequest
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.StateRequest} StateRequest
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        StateRequest.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.StateRequest();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.offset = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for StateRequest
         * @function getTypeUrl
         * @memberof marblehall.StateRequest
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        StateRequest.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.StateRequest";
        };

        return StateRequest;
    })();

    marblehall.StateReply = (function() {

        /**
         * Properties of a StateReply.
         * @memberof marblehall
         * @interface IStateReply
         * @property {number|null} [offset] StateReply offset
         * @property {string|null} [state] StateReply state
         */

        /**
         * Constructs a new StateReply.
         * @memberof marblehall
         * @classdesc Represents a StateReply.
         * @implements IStateReply
         * @constructor
         * @param {marblehall.IStateReply=} [properties] Properties to set
         */
        function StateReply(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * StateReply offset.
         * @member {number} offset
         * @memberof marblehall.StateReply
         * @instance
         */
        StateReply.prototype.offset = 0;

        /**
         * StateReply state.
         * @member {string} state
         * @memberof marblehall.StateReply
         * @instance
         */
        StateReply.prototype.state = "";

        /**
         * Encodes the specified StateReply message. Does not implicitly {@link marblehall.StateReply.verify|verify} messages.
         * @function encode
         * @memberof marblehall.StateReply
         * @static
         * @param {marblehall.IStateReply} message StateReply message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        StateReply.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.offset);
            if (message.state != null && Object.hasOwnProperty.call(message, "state"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.state);
            return writer;
        };

        /**
         * Decodes a StateReply message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.StateReply
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.StateReply} StateReply
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        StateReply.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.StateReply();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.offset = reader.double();
                        break;
                    }
                case 2: {
                        message.state = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for StateReply
         * @function getTypeUrl
         * @memberof marblehall.StateReply
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        StateReply.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.StateReply";
        };

        return StateReply;
    })();

    marblehall.Ask = (function() {

        /**
         * Properties of an Ask.
         * @memberof marblehall
         * @interface IAsk
         * @property {number|null} [id] Ask id
         * @property {string|null} [text] Ask text
         */

        /**
         * Constructs a new Ask.
         * @memberof marblehall
         * @classdesc Represents an Ask.
         * @implements IAsk
         * @constructor
         * @param {marblehall.IAsk=} [properties] Properties to set
         */
        function Ask(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Ask id.
         * @member {number} id
         * @memberof marblehall.Ask
         * @instance
         */
        Ask.prototype.id = 0;

        /**
         * Ask text.
         * @member {string} text
         * @memberof marblehall.Ask
         * @instance
         */
        Ask.prototype.text = "";

        /**
         * Encodes the specified Ask message. Does not implicitly {@link marblehall.Ask.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Ask
         * @static
         * @param {marblehall.IAsk} message Ask message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Ask.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.text != null && Object.hasOwnProperty.call(message, "text"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.text);
            return writer;
        };

        /**
         * Decodes an Ask message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Ask
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Ask} Ask
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Ask.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Ask();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.text = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Ask
         * @function getTypeUrl
         * @memberof marblehall.Ask
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Ask.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Ask";
        };

        return Ask;
    })();

    marblehall.Told = (function() {

        /**
         * Properties of a Told.
         * @memberof marblehall
         * @interface ITold
         * @property {number|null} [id] Told id
         * @property {string|null} [text] Told text
         */

        /**
         * Constructs a new Told.
         * @memberof marblehall
         * @classdesc Represents a Told.
         * @implements ITold
         * @constructor
         * @param {marblehall.ITold=} [properties] Properties to set
         */
        function Told(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Told id.
         * @member {number} id
         * @memberof marblehall.Told
         * @instance
         */
        Told.prototype.id = 0;

        /**
         * Told text.
         * @member {string} text
         * @memberof marblehall.Told
         * @instance
         */
        Told.prototype.text = "";

        /**
         * Encodes the specified Told message. Does not implicitly {@link marblehall.Told.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Told
         * @static
         * @param {marblehall.ITold} message Told message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Told.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.id != null && Object.hasOwnProperty.call(message, "id"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.id);
            if (message.text != null && Object.hasOwnProperty.call(message, "text"))
                writer.uint32(/* id 2, wireType 2 =*/18).string(message.text);
            return writer;
        };

        /**
         * Decodes a Told message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Told
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Told} Told
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Told.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Told();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.id = reader.double();
                        break;
                    }
                case 2: {
                        message.text = reader.string();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Told
         * @function getTypeUrl
         * @memberof marblehall.Told
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Told.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Told";
        };

        return Told;
    })();

    marblehall.Announced = (function() {

        /**
         * Properties of an Announced.
         * @memberof marblehall
         * @interface IAnnounced
         * @property {number|null} [offset] Announced offset
         */

        /**
         * Constructs a new Announced.
         * @memberof marblehall
         * @classdesc Represents an Announced.
         * @implements IAnnounced
         * @constructor
         * @param {marblehall.IAnnounced=} [properties] Properties to set
         */
        function Announced(properties) {
            if (properties)
                for (let keys = Object.keys(properties), i = 0; i < keys.length; ++i)
                    if (properties[keys[i]] != null && keys[i] !== "__proto__")
                        this[keys[i]] = properties[keys[i]];
        }

        /**
         * Announced offset.
         * @member {number} offset
         * @memberof marblehall.Announced
         * @instance
         */
        Announced.prototype.offset = 0;

        /**
         * Encodes the specified Announced message. Does not implicitly {@link marblehall.Announced.verify|verify} messages.
         * @function encode
         * @memberof marblehall.Announced
         * @static
         * @param {marblehall.IAnnounced} message Announced message or plain object to encode
         * @param {$protobuf.Writer} [writer] Writer to encode to
         * @returns {$protobuf.Writer} Writer
         */
        Announced.encode = function encode(message, writer, q) {
            if (!writer)
                writer = $Writer.create();
            if (q === undefined)
                q = 0;
            if (q > $util.recursionLimit)
                throw Error("max depth exceeded");
            if (message.offset != null && Object.hasOwnProperty.call(message, "offset"))
                writer.uint32(/* id 1, wireType 1 =*/9).double(message.offset);
            return writer;
        };

        /**
         * Decodes an Announced message from the specified reader or buffer.
         * @function decode
         * @memberof marblehall.Announced
         * @static
         * @param {$protobuf.Reader|Uint8Array} reader Reader or buffer to decode from
         * @param {number} [length] Message length if known beforehand
         * @returns {marblehall.Announced} Announced
         * @throws {Error} If the payload is not a reader or valid buffer
         * @throws {$protobuf.util.ProtocolError} If required fields are missing
         */
        Announced.decode = function decode(reader, length, error, long) {
            if (!(reader instanceof $Reader))
                reader = $Reader.create(reader);
            if (long === undefined)
                long = 0;
            if (long > $Reader.recursionLimit)
                throw Error("maximum nesting depth exceeded");
            let end, message;
            if (length === undefined)
                end = reader.len;
            else {
                end = reader.pos + length;
                if (end > reader.len)
                    throw RangeError("index out of range");
                length = reader.len;
                reader.len = end;
            }
            message = new $root.marblehall.Announced();
            while (reader.pos < end) {
                let tag = reader.uint32();
                if (tag === error)
                    break;
                switch (tag >>> 3) {
                case 1: {
                        message.offset = reader.double();
                        break;
                    }
                default:
                    reader.skipType(tag & 7, long);
                    break;
                }
            }
            if (length !== undefined) {
                if (reader.pos !== end)
                    throw RangeError("index out of range");
                reader.len = length;
            }
            return message;
        };

        /**
         * Gets the default type url for Announced
         * @function getTypeUrl
         * @memberof marblehall.Announced
         * @static
         * @param {string} [typeUrlPrefix] your custom typeUrlPrefix(default "type.googleapis.com")
         * @returns {string} The default type url
         */
        Announced.getTypeUrl = function getTypeUrl(typeUrlPrefix) {
            if (typeUrlPrefix === undefined) {
                typeUrlPrefix = "type.googleapis.com";
            }
            return typeUrlPrefix + "/marblehall.Announced";
        };

        return Announced;
    })();

    return marblehall;
})();

export { $root as default };
